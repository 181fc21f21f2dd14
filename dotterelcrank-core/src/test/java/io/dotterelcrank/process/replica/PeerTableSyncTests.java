package io.dotterelcrank.process.replica;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PeerTableSync} on a host that the store refuses while it serves others.
 */
class PeerTableSyncTests {

	private static final List<InetSocketAddress> PEERS = List.of(new InetSocketAddress("10.0.0.1", 80),
			new InetSocketAddress("10.0.0.2", 80), new InetSocketAddress("10.0.0.3", 80));

	private final Clock.Manual clock = Clock.manual(10_000);

	private final Scheduler.Manual control = Scheduler.manual(this.clock);

	private final RecordingTransport transport = new RecordingTransport();

	private final SwitchableStore store = new SwitchableStore();

	private final List<KeyedRecord> changes = new ArrayList<>();

	private final TableFeed feed = TableFeed.polling("op", this.store, this.clock, this.control, 500,
			this.changes::addAll);

	private final PeerTableSync sync = PeerTableSync.of(this.transport, this.control, this.clock, () -> PEERS,
			RandomSource.XO_RO_SHI_RO_128_PP.create(3));

	private void start() {
		this.sync.add(this.feed);
		this.feed.start();
		this.sync.start();
	}

	@Test
	void requestsNothingWhileStoreIsReachable() {
		start();
		this.control.advance(10_000);
		assertThat(this.transport.links).isEmpty();
	}

	@Test
	void requestsFromTwoPeersPerRoundStartingAtOwnOffset() {
		start();
		this.control.advance(600);
		this.store.unavailable = true;
		this.control.advance(1_000);
		assertThat(this.transport.links).hasSizeBetween(2, 3);
		assertThat(this.transport.links.get(0).sent.get(0)).isEqualTo(new Message.RecordsRequest("op", 4, 0L));
		assertThat(this.transport.requestCount()).isLessThanOrEqualTo(2 * 3);
	}

	@Test
	void appliesResponseWithItsAge() {
		this.store.unavailable = true;
		start();
		this.control.advance(PeerTableSync.ROUND_MILLIS);
		RecordingLink link = this.transport.links.get(0);
		link.listener.received(link, 0, new Message.RecordsResponse("op", 9, 200,
				List.of(new KeyedRecord("config", 8, new byte[] { 1 })), 0, 0L));
		this.control.runDue();
		assertThat(this.changes).extracting(KeyedRecord::offset).containsExactly(8L);
		assertThat(this.feed.ageMillis()).isEqualTo(200);
	}

	private void receive(RecordingLink link, String table, long ageMillis) {
		link.listener.received(link, 0, new Message.RecordsResponse(table, 9, ageMillis,
				List.of(new KeyedRecord("config", 8, new byte[] { 1 })), 0, 0L));
		this.control.runDue();
	}

	/** The process or the link stood still while the response was under way. */
	@Test
	void recordsOfALateResponseAreAsOldAsItsRequest() {
		this.store.unavailable = true;
		start();
		this.control.advance(PeerTableSync.ROUND_MILLIS);
		this.clock.advance(20_000);
		receive(this.transport.links.get(0), "op", 200);
		assertThat(this.changes).hasSize(1);
		assertThat(this.feed.ageMillis()).isEqualTo(20_200);
	}

	@Test
	void responseIsThatToTheOldestRequestOfItsTable() {
		this.store.unavailable = true;
		start();
		this.control.advance(PeerTableSync.ROUND_MILLIS);
		RecordingLink link = this.transport.links.get(0);
		while (link.sent.size() < 2) {
			this.control.advance(PeerTableSync.ROUND_MILLIS);
		}
		long waitedMillis = this.clock.millis() - 10_000 - PeerTableSync.ROUND_MILLIS;
		receive(link, "op", 0);
		assertThat(this.feed.ageMillis()).isEqualTo(waitedMillis);
		receive(link, "op", 0);
		assertThat(this.feed.ageMillis()).isZero();
	}

	@Test
	void secondCopyOfAResponseDoesNotMakeRecordsCurrent() {
		this.store.unavailable = true;
		start();
		this.control.advance(PeerTableSync.ROUND_MILLIS);
		RecordingLink link = this.transport.links.get(0);
		receive(link, "op", 0);
		this.clock.advance(300);
		receive(link, "op", 0);
		assertThat(this.feed.ageMillis()).isEqualTo(300);
	}

	/** A peer ignores requests for tables that it does not read. */
	@Test
	void requestThatAPeerIgnoresDoesNotMakeRecordsOfOtherTablesOlder() {
		TableFeed ignored = TableFeed.polling("other", this.store, this.clock, this.control, 500, (records) -> {
		});
		this.sync.add(ignored);
		this.store.unavailable = true;
		ignored.start();
		start();
		this.control.advance(PeerTableSync.ROUND_MILLIS);
		RecordingLink link = this.transport.links.get(0);
		receive(link, "op", 0);
		while (link.sent.size() < 4) {
			this.control.advance(PeerTableSync.ROUND_MILLIS);
		}
		receive(link, "other", 50);
		assertThat(ignored.ageMillis()).isEqualTo(50);
	}

	@Test
	void unresponsivePeerGetsNewLink() {
		this.store.unavailable = true;
		start();
		this.control.advance(10_000);
		assertThat(this.transport.links).anyMatch((link) -> link.closed);
		assertThat(this.transport.links).hasSizeGreaterThan(PEERS.size());
	}

	@Test
	void respondsWithRecordsFromRequestedOffset() {
		start();
		this.control.advance(600);
		this.feed.applyPeerRecords(
				new KeyedTable.Update(4, List.of(new KeyedRecord("a", 4, null), new KeyedRecord("b", 5, null)), 0), 6,
				0);
		RecordingLink link = new RecordingLink(null);
		this.sync.handleRequest(link, new Message.RecordsRequest("op", 5, 0L));
		this.sync.handleRequest(link, new Message.RecordsRequest("other", 0, 0L));
		this.control.runDue();
		Message.RecordsResponse response = (Message.RecordsResponse) link.sent.get(0);
		assertThat(response.records()).extracting(KeyedRecord::offset).containsExactly(5L);
		assertThat(response.fromOffset()).isEqualTo(5);
		assertThat(response.nextOffset()).isEqualTo(6);
		assertThat(link.sent).hasSize(1);
	}

	@Test
	void respondsWithAllRecordsIfDeletionsSinceTheRequestedOffsetAreNotKnown() {
		start();
		this.control.advance(600);
		RecordingLink link = new RecordingLink(null);
		this.sync.handleRequest(link, new Message.RecordsRequest("op", 3, 0L));
		this.control.runDue();
		Message.RecordsResponse response = (Message.RecordsResponse) link.sent.get(0);
		assertThat(response.records()).extracting(KeyedRecord::offset).containsExactly(2L, 3L);
		assertThat(response.fromOffset()).isZero();
		assertThat(response.nextOffset()).isEqualTo(4);
	}

	/**
	 * A host behind a slow link asked all peers for the same records while those of the
	 * first two were under way.
	 */
	@Test
	void asksNoOtherPeersWhileTwoAreResponding() {
		this.store.unavailable = true;
		start();
		this.control.advance(PeerTableSync.ROUND_MILLIS);
		this.transport.links.forEach((link) -> link.listener.opened(link));
		this.control.advance((PeerTableSync.MAX_UNANSWERED_ROUNDS - 1) * PeerTableSync.ROUND_MILLIS);
		assertThat(this.transport.links).hasSize(PeerTableSync.PEERS_PER_ROUND);
		this.control.advance(10 * PeerTableSync.ROUND_MILLIS);
		assertThat(this.transport.links).hasSizeGreaterThan(PeerTableSync.PEERS_PER_ROUND);
	}

	@Test
	void asksOtherPeersWhileLinksDoNotOpen() {
		this.store.unavailable = true;
		start();
		this.control.advance(PeerTableSync.MAX_UNANSWERED_ROUNDS * PeerTableSync.ROUND_MILLIS);
		assertThat(this.transport.links).hasSize(PEERS.size());
	}

	/**
	 * The link to a peer was replaced before the response had arrived, again and again,
	 * and the new link got all records from the start.
	 */
	@Test
	void slowResponseArrivesOnALaterLink() {
		startWithOnePeer();
		long responseMillis = 10 * PeerTableSync.ROUND_MILLIS;
		for (int round = 0; round < 50 && this.changes.isEmpty(); round++) {
			this.control.advance(PeerTableSync.ROUND_MILLIS);
			RecordingLink link = lastLink();
			if (link.openedMillis == 0) {
				link.openedMillis = this.clock.millis();
				link.listener.opened(link);
			}
			else if (!link.closed && this.clock.millis() - link.openedMillis >= responseMillis) {
				receive(link, "op", 0);
			}
		}
		assertThat(this.changes).hasSize(1);
	}

	@Test
	void linkIsNotReplacedIfAResponseHasArrivedThatIsUnread() {
		startWithOnePeer();
		this.control.advance(PeerTableSync.ROUND_MILLIS);
		RecordingLink link = lastLink();
		link.listener.opened(link);
		link.unread = () -> receive(link, "op", 0);
		this.control.advance((PeerTableSync.MAX_UNANSWERED_ROUNDS + 1) * PeerTableSync.ROUND_MILLIS);
		assertThat(link.closed).isFalse();
		assertThat(this.changes).hasSize(1);
	}

	@Test
	void linkThatIsSilentAfterAResponseIsReplacedAsSoonAsTheFirst() {
		startWithOnePeer();
		this.control.advance(PeerTableSync.ROUND_MILLIS);
		for (int i = 0; i < 3; i++) {
			lastLink().listener.opened(lastLink());
			waitUntilReplaced(lastLink());
		}
		lastLink().listener.opened(lastLink());
		receive(lastLink(), "op", 0);
		assertThat(waitUntilReplaced(lastLink())).isLessThanOrEqualTo(PeerTableSync.MAX_UNANSWERED_ROUNDS + 2);
	}

	private void startWithOnePeer() {
		this.store.unavailable = true;
		PeerTableSync single = PeerTableSync.of(this.transport, this.control, this.clock, () -> PEERS.subList(0, 1),
				RandomSource.XO_RO_SHI_RO_128_PP.create(3));
		single.add(this.feed);
		this.feed.start();
		single.start();
	}

	/** Returns the number of rounds until another link was opened. */
	private int waitUntilReplaced(RecordingLink link) {
		int rounds = 0;
		for (; lastLink() == link && rounds < 100; rounds++) {
			this.control.advance(PeerTableSync.ROUND_MILLIS);
		}
		return rounds;
	}

	private RecordingLink lastLink() {
		return this.transport.links.get(this.transport.links.size() - 1);
	}

	/** A host that the store refuses learns from its peers that the store came back. */
	@Test
	void recordsOfANewEpochReplaceThoseBefore() {
		start();
		this.control.advance(600);
		this.store.unavailable = true;
		this.control.advance(1_000);
		RecordingLink link = this.transport.links.get(0);
		link.listener.received(link, 0, new Message.RecordsResponse("op", 3, 0,
				List.of(new KeyedRecord("config", 2, new byte[] { 2 })), 0, 7L));
		this.control.runDue();
		assertThat(this.feed.records().epoch()).isEqualTo(7);
		assertThat(this.changes.get(this.changes.size() - 1).value()).containsExactly(2);
		this.control.advance(1_000);
		assertThat(this.transport.links).anyMatch((any) -> any.sent.contains(new Message.RecordsRequest("op", 3, 7L)));
	}

	/**
	 * A store that holds two records and can be made unavailable.
	 */
	private static final class SwitchableStore implements KeyedTableStore {

		private boolean unavailable;

		@Override
		public CompletableFuture<Batch> list(String table) {
			return respond(List.of(new KeyedRecord("config", 2, new byte[] { 1 }),
					new KeyedRecord("evacuate/giza", 3, new byte[] { 1 })));
		}

		@Override
		public CompletableFuture<Batch> read(String table, long fromOffset, long waitMillis) {
			return respond(List.of());
		}

		private CompletableFuture<Batch> respond(List<KeyedRecord> records) {
			return this.unavailable ? CompletableFuture.failedFuture(new PlatformException("refused by the store"))
					: CompletableFuture.completedFuture(new Batch(records, 4, false));
		}

		@Override
		public CompletableFuture<Void> put(String table, String key, byte[] value) {
			return CompletableFuture.completedFuture(null);
		}

		@Override
		public CompletableFuture<Boolean> tryAppend(String table, long endOffset, String key, byte[] value) {
			return CompletableFuture.completedFuture(true);
		}

	}

	/**
	 * Records the links that are opened.
	 */
	private static final class RecordingTransport implements Transport {

		private final List<RecordingLink> links = new ArrayList<>();

		long requestCount() {
			return this.links.stream().mapToLong((link) -> link.sent.size()).sum();
		}

		@Override
		public InetSocketAddress listen(InetSocketAddress address, Link.Listener listener) {
			return address;
		}

		@Override
		public Link open(InetSocketAddress address, Link.Listener listener) {
			RecordingLink link = new RecordingLink(listener);
			this.links.add(link);
			return link;
		}

		@Override
		public Traffic traffic() {
			return new Traffic(0, 0, 0, 0);
		}

		@Override
		public void close() {
			// Nothing is open.
		}

	}

	/**
	 * Records the messages that are sent.
	 */
	private static final class RecordingLink implements Link {

		private final Link.Listener listener;

		private final List<Message> sent = new ArrayList<>();

		private boolean closed;

		/** Passes on what has arrived and is not read. */
		private Runnable unread = () -> {
		};

		/** 0 if the link is not open. */
		private long openedMillis;

		RecordingLink(Link.Listener listener) {
			this.listener = listener;
		}

		@Override
		public void send(Message message) {
			this.sent.add(message);
		}

		@Override
		public boolean writable() {
			return true;
		}

		@Override
		public void close() {
			if (!this.closed) {
				this.closed = true;
				this.listener.closed(this);
			}
		}

		@Override
		public void runAfterReads(Runnable task) {
			this.unread.run();
			task.run();
		}

		@Override
		public String peerAddress() {
			return "peer";
		}

	}

}
