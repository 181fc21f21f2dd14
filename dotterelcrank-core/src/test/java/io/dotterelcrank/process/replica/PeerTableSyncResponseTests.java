package io.dotterelcrank.process.replica;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PeerTableSync} on a host that responds to requests on slow links.
 */
class PeerTableSyncResponseTests {

	private final Clock.Manual clock = Clock.manual(10_000);

	private final Scheduler.Manual control = Scheduler.manual(this.clock);

	/** Not started, so that tests apply what the store would send. */
	private final TableFeed feed = TableFeed.polling("op", null, this.clock, this.control, 500, (changes) -> {
	});

	private final PeerTableSync sync = PeerTableSync.of(null, this.control, this.clock, List::of,
			RandomSource.XO_RO_SHI_RO_128_PP.create(3));

	private void start() {
		this.sync.add(this.feed);
		applyFromStore(0, 0, new KeyedRecord("config", 2, new byte[] { 1 }),
				new KeyedRecord("evacuate/giza", 3, new byte[] { 1 }));
	}

	private List<Message.RecordsResponse> request(RecordingLink link, long epoch, long fromOffset) {
		this.sync.handleRequest(link, new Message.RecordsRequest("op", fromOffset, epoch));
		this.control.runDue();
		return link.sent.stream().map(Message.RecordsResponse.class::cast).toList();
	}

	private void applyFromStore(long epoch, long fromOffset, KeyedRecord... records) {
		this.feed.applyPeerRecords(new KeyedTable.Update(fromOffset, List.of(records), epoch),
				records[records.length - 1].offset() + 1, 0);
	}

	/**
	 * A host asks again while the response is still under way on a slow link. Each
	 * request was answered with all records, so that the responses filled the link.
	 */
	@Test
	void repeatedRequestsGetEachRecordOnce() {
		start();
		RecordingLink link = new RecordingLink();
		request(link, 0, 0);
		request(link, 0, 0);
		applyFromStore(0, 4, new KeyedRecord("config", 4, new byte[] { 2 }));
		List<Message.RecordsResponse> responses = request(link, 0, 0);
		assertThat(responses).extracting(Message.RecordsResponse::nextOffset).containsExactly(4L, 4L, 5L);
		assertThat(responses).extracting(Message.RecordsResponse::fromOffset).containsExactly(0L, 4L, 4L);
		assertThat(responses).flatExtracting(Message.RecordsResponse::records)
			.extracting(KeyedRecord::offset)
			.containsExactly(2L, 3L, 4L);
	}

	/**
	 * Each version of a configuration was queued for a link that takes one in the time of
	 * several.
	 */
	@Test
	void newestRecordsReplaceThoseThatASlowLinkHasNotTaken() {
		start();
		RecordingLink link = new RecordingLink();
		request(link, 0, 0);
		link.writable = false;
		for (long offset = 4; offset < 9; offset++) {
			this.clock.advance(100);
			applyFromStore(0, offset, new KeyedRecord("config", offset, new byte[] { 2 }));
			Message.RecordsResponse response = latest(request(link, 0, 0));
			assertThat(response.records()).isEmpty();
			assertThat(response.nextOffset()).isEqualTo(4);
			assertThat(response.ageMillis()).isEqualTo(100 * (offset - 3));
		}
		link.writable = true;
		Message.RecordsResponse response = latest(request(link, 0, 0));
		assertThat(response.records()).extracting(KeyedRecord::offset).containsExactly(8L);
		assertThat(response.fromOffset()).isEqualTo(4);
		assertThat(response.nextOffset()).isEqualTo(9);
		assertThat(response.ageMillis()).isZero();
	}

	/** Other tables than those of the request may have filled the link. */
	@Test
	void firstRequestIsAnsweredWithRecordsOnAFullLink() {
		start();
		RecordingLink link = new RecordingLink();
		link.writable = false;
		assertThat(request(link, 0, 0).get(0).records()).hasSize(2);
	}

	private static Message.RecordsResponse latest(List<Message.RecordsResponse> responses) {
		return responses.get(responses.size() - 1);
	}

	@Test
	void repeatedRequestGetsAllRecordsOfANewEpoch() {
		start();
		RecordingLink link = new RecordingLink();
		request(link, 0, 0);
		applyFromStore(7, 0, new KeyedRecord("config", 1, new byte[] { 2 }));
		Message.RecordsResponse response = request(link, 0, 0).get(1);
		assertThat(response.epoch()).isEqualTo(7);
		assertThat(response.fromOffset()).isZero();
		assertThat(response.records()).extracting(KeyedRecord::offset).containsExactly(1L);
	}

	@Test
	void requestOnANewLinkGetsAllRecordsAgain() {
		start();
		RecordingLink link = new RecordingLink();
		request(link, 0, 0);
		assertThat(request(new RecordingLink(), 0, 0).get(0).records()).hasSize(2);
		this.sync.handleClosed(link);
		this.control.runDue();
		assertThat(request(link, 0, 0).get(1).records()).hasSize(2);
	}

	/**
	 * A host asks at any time, and its requests and the responses are under way for any
	 * time.
	 */
	@Test
	void hostThatAppliesTheResponsesInOrderGetsAllRecordsOnce() {
		start();
		for (int seed = 0; seed < 200; seed++) {
			exchange(new Random(seed), seed + 1);
		}
	}

	private void exchange(Random random, long epoch) {
		RecordingLink link = new RecordingLink();
		KeyedTable requester = KeyedTable.empty();
		Deque<Message.RecordsRequest> requests = new ArrayDeque<>();
		int applied = 0;
		long offset = 0;
		for (int step = 0; step < 60; step++) {
			link.writable = random.nextBoolean();
			switch (random.nextInt(4)) {
				case 0 -> requests.addLast(new Message.RecordsRequest("op", requester.nextOffset(), requester.epoch()));
				case 1 -> {
					byte[] value = (random.nextInt(3) == 0) ? null : new byte[] { (byte) step };
					applyFromStore(epoch, offset, new KeyedRecord("key" + random.nextInt(5), offset, value));
					offset++;
				}
				case 2 -> {
					if (!requests.isEmpty()) {
						this.sync.handleRequest(link, requests.pollFirst());
						this.control.runDue();
					}
				}
				default -> {
					if (applied < link.sent.size()) {
						apply(requester, (Message.RecordsResponse) link.sent.get(applied++));
					}
				}
			}
		}
		link.writable = true;
		this.sync.handleRequest(link, new Message.RecordsRequest("op", requester.nextOffset(), requester.epoch()));
		this.control.runDue();
		for (; applied < link.sent.size(); applied++) {
			apply(requester, (Message.RecordsResponse) link.sent.get(applied));
		}
		assertThat(live(requester)).isEqualTo(live(this.feed.records()));
		assertThat(requester.nextOffset()).isEqualTo(this.feed.records().nextOffset());
		assertThat(link.sent.stream()
			.map(Message.RecordsResponse.class::cast)
			.flatMap((
					response) -> response.records().stream().map((record) -> response.epoch() + "/" + record.offset())))
			.doesNotHaveDuplicates();
	}

	private static void apply(KeyedTable table, Message.RecordsResponse response) {
		KeyedTable.Update update = new KeyedTable.Update(response.fromOffset(), response.records(), response.epoch());
		assertThat(table.accepts(update)).isTrue();
		table.apply(update, response.nextOffset());
	}

	private static List<KeyedRecord> live(KeyedTable table) {
		return table.since(0).stream().filter((record) -> !record.deleted()).toList();
	}

	/**
	 * Records the messages that are sent.
	 */
	private static final class RecordingLink implements Link {

		private final List<Message> sent = new ArrayList<>();

		private boolean writable = true;

		@Override
		public void send(Message message) {
			this.sent.add(message);
		}

		@Override
		public boolean writable() {
			return this.writable;
		}

		@Override
		public void close() {
			// The other side closes it.
		}

		@Override
		public String peerAddress() {
			return "peer";
		}

	}

}
