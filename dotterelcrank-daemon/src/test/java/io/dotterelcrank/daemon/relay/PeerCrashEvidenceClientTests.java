package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PeerCrashEvidenceClient}.
 */
class PeerCrashEvidenceClientTests {

	private static final Message.CrashEvidence EVIDENCE = new Message.CrashEvidence(List.of(), List.of(), true, false);

	private final Scheduler.Manual control = Scheduler.manual(Clock.manual(0));

	private final RecordingTransport transport = new RecordingTransport();

	private final List<InetSocketAddress> peers = new ArrayList<>();

	private final List<Message.CrashEvidence> received = new ArrayList<>();

	private final PeerCrashEvidenceClient client = new PeerCrashEvidenceClient(this.transport, this.control,
			() -> this.peers, this.received::add, RandomSource.XO_RO_SHI_RO_128_PP.create(1));

	private void addPeers(int count) {
		for (int i = 0; i < count; i++) {
			this.peers.add(new InetSocketAddress("10.0.0." + (1 + i), 80));
		}
	}

	private void send(int hosts) {
		this.client.send(EVIDENCE, hosts);
		this.control.advance(0);
	}

	@Test
	void evidenceIsSentToDifferentPeers() {
		addPeers(10);
		send(6);
		assertThat(this.transport.links).hasSize(6);
		assertThat(this.transport.links.values()).allMatch((link) -> link.sent.equals(List.of(EVIDENCE)));
	}

	@Test
	void allPeersGetItIfThereAreFew() {
		addPeers(2);
		send(6);
		assertThat(this.transport.links).hasSize(2);
	}

	@Test
	void nothingIsSentWithoutPeers() {
		send(6);
		assertThat(this.transport.links).isEmpty();
	}

	@Test
	void numberOfOpenLinksIsBounded() {
		addPeers(200);
		for (int i = 0; i < 100; i++) {
			send(6);
		}
		assertThat(this.transport.links.values().stream().filter((link) -> !link.closed).count())
			.isEqualTo(PeerCrashEvidenceClient.MAX_LINKS);
	}

	@Test
	void fullLinkGetsNothing() {
		addPeers(1);
		send(1);
		RecordingLink link = this.transport.links.values().iterator().next();
		link.listener.opened(link);
		this.control.advance(0);
		link.writable = false;
		send(1);
		assertThat(link.sent).hasSize(1);
		link.writable = true;
		send(1);
		assertThat(link.sent).hasSize(2);
	}

	@Test
	void linkThatDoesNotOpenQueuesFewMessages() {
		addPeers(1);
		for (int i = 0; i < 100; i++) {
			send(1);
		}
		assertThat(this.transport.links.values().iterator().next().sent)
			.hasSize(PeerCrashEvidenceClient.MAX_SENT_BEFORE_OPEN);
	}

	@Test
	void closedLinkIsReplaced() {
		addPeers(1);
		send(1);
		RecordingLink link = this.transport.links.values().iterator().next();
		link.listener.closed(link);
		this.control.advance(0);
		send(1);
		assertThat(link.sent).hasSize(1);
		assertThat(this.transport.opened).isEqualTo(2);
	}

	@Test
	void responsesArePassedOn() {
		addPeers(1);
		send(1);
		RecordingLink link = this.transport.links.values().iterator().next();
		link.listener.received(link, 0, EVIDENCE);
		assertThat(this.received).containsExactly(EVIDENCE);
	}

	/**
	 * Records what is opened.
	 */
	private static final class RecordingTransport implements Transport {

		/** The last link to each address. */
		private final Map<InetSocketAddress, RecordingLink> links = new LinkedHashMap<>();

		private int opened;

		@Override
		public InetSocketAddress listen(InetSocketAddress address, Link.Listener listener) {
			throw new UnsupportedOperationException("nothing listens in this test");
		}

		@Override
		public Link open(InetSocketAddress address, Link.Listener listener) {
			this.opened++;
			RecordingLink link = new RecordingLink(listener);
			this.links.put(address, link);
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
	 * Records what is sent.
	 */
	private static final class RecordingLink implements Link {

		private final Listener listener;

		private final List<Message> sent = new ArrayList<>();

		private boolean writable = true;

		private boolean closed;

		RecordingLink(Listener listener) {
			this.listener = listener;
		}

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
			this.closed = true;
		}

		@Override
		public String peerAddress() {
			return "test";
		}

	}

}
