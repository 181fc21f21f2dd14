package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;

import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.process.quarantine.CrashEvidenceClient;

/**
 * Sends evidence of crashes to random peers. Invariant: at most {@link #MAX_LINKS} links
 * are open. State is confined to the control thread.
 */
final class PeerCrashEvidenceClient implements CrashEvidenceClient {

	/** Number of links; the one used least recently is closed. */
	static final int MAX_LINKS = 32;

	/** Number of messages that a link queues before it is open; more are dropped. */
	static final int MAX_SENT_BEFORE_OPEN = 20;

	private final Transport transport;

	private final Scheduler control;

	/** Supplies the addresses of peers, without this process. */
	private final Supplier<Collection<InetSocketAddress>> peers;

	/** Receives the responses of peers; called on the link's thread. */
	private final Consumer<Message.CrashEvidence> onEvidence;

	private final UniformRandomProvider random;

	/** Links to peers, by address; the one used least recently first. */
	private final Map<InetSocketAddress, PeerLink> links = new LinkedHashMap<>(16, 0.75f, true);

	PeerCrashEvidenceClient(Transport transport, Scheduler control, Supplier<Collection<InetSocketAddress>> peers,
			Consumer<Message.CrashEvidence> onEvidence, UniformRandomProvider random) {
		this.transport = transport;
		this.control = control;
		this.peers = peers;
		this.onEvidence = onEvidence;
		this.random = random;
	}

	@Override
	public void send(Message.CrashEvidence evidence, int hosts) {
		this.control.execute(() -> {
			List<InetSocketAddress> remaining = new ArrayList<>(this.peers.get());
			for (int i = 0; i < hosts && !remaining.isEmpty(); i++) {
				InetSocketAddress peer = remaining.remove(this.random.nextInt(remaining.size()));
				this.links.computeIfAbsent(peer, PeerLink::new).send(evidence);
			}
			closeLeastRecentlyUsed();
		});
	}

	private void closeLeastRecentlyUsed() {
		List<InetSocketAddress> addresses = List.copyOf(this.links.keySet());
		addresses.subList(0, Math.max(0, addresses.size() - MAX_LINKS))
			.forEach((address) -> this.links.remove(address).close());
	}

	/**
	 * Link to one peer. Confined to the control thread.
	 */
	private final class PeerLink implements Link.Listener {

		private final InetSocketAddress address;

		private final Link link;

		private boolean open;

		private int sentBeforeOpen;

		PeerLink(InetSocketAddress address) {
			this.address = address;
			this.link = PeerCrashEvidenceClient.this.transport.open(address, this);
		}

		void send(Message.CrashEvidence evidence) {
			boolean accepted = this.open ? this.link.writable() : this.sentBeforeOpen++ < MAX_SENT_BEFORE_OPEN;
			if (accepted) {
				this.link.send(evidence);
			}
		}

		void close() {
			this.link.close();
		}

		@Override
		public void opened(Link openedLink) {
			PeerCrashEvidenceClient.this.control.execute(() -> this.open = true);
		}

		@Override
		public void received(Link sender, long version, Message message) {
			if (message instanceof Message.CrashEvidence evidence) {
				PeerCrashEvidenceClient.this.onEvidence.accept(evidence);
			}
		}

		@Override
		public void writable(Link writableLink) {
			// Evidence is sent again later, so none is kept for a link that is full.
		}

		@Override
		public void closed(Link closedLink) {
			PeerCrashEvidenceClient.this.control
				.execute(() -> PeerCrashEvidenceClient.this.links.remove(this.address, this));
		}

	}

}
