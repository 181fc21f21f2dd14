package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.process.limit.RetryLoanClient;

/**
 * Asks random peers for retry permits. Invariant: at most one request per service is sent
 * each {@link #MIN_INTERVAL_MILLIS}, to {@link #PEERS_PER_REQUEST} peers. State is
 * confined to the control thread.
 */
final class PeerRetryLoanClient implements RetryLoanClient {

	/** Number of peers asked at once; not every peer has a permit left. */
	static final int PEERS_PER_REQUEST = 2;

	/** Min time between two requests for the same service, in milliseconds. */
	static final long MIN_INTERVAL_MILLIS = 50;

	/** Number of requests without a response after which a link is replaced. */
	static final int MAX_UNANSWERED_REQUESTS = 3;

	private final Transport transport;

	private final Scheduler control;

	private final Clock clock;

	/** Supplies the addresses of peers, without this process. */
	private final Supplier<Collection<InetSocketAddress>> peers;

	/** Receives the name of the service of each permit; called on the link's thread. */
	private final Consumer<String> onLoan;

	private final UniformRandomProvider random;

	/** When a permit was last requested, by service. */
	private final Map<String, Long> requestedMillis = new HashMap<>();

	/** Links to the peers asked so far, by address. */
	private final Map<InetSocketAddress, PeerLink> links = new HashMap<>();

	PeerRetryLoanClient(Transport transport, Scheduler control, Clock clock,
			Supplier<Collection<InetSocketAddress>> peers, Consumer<String> onLoan, UniformRandomProvider random) {
		this.transport = transport;
		this.control = control;
		this.clock = clock;
		this.peers = peers;
		this.onLoan = onLoan;
		this.random = random;
	}

	@Override
	public void requestLoan(String service) {
		this.control.execute(() -> {
			long nowMillis = this.clock.millis();
			if (nowMillis - this.requestedMillis.getOrDefault(service, 0L) < MIN_INTERVAL_MILLIS) {
				return;
			}
			this.requestedMillis.put(service, nowMillis);
			List<InetSocketAddress> remaining = new ArrayList<>(this.peers.get());
			for (int i = 0; i < PEERS_PER_REQUEST && !remaining.isEmpty(); i++) {
				InetSocketAddress peer = remaining.remove(this.random.nextInt(remaining.size()));
				this.links.computeIfAbsent(peer, PeerLink::new).request(service);
			}
		});
	}

	/**
	 * Link to one peer. Confined to the control thread.
	 */
	private final class PeerLink implements Link.Listener {

		private final InetSocketAddress address;

		private final Link link;

		private int unansweredRequests;

		PeerLink(InetSocketAddress address) {
			this.address = address;
			this.link = PeerRetryLoanClient.this.transport.open(address, this);
		}

		void request(String service) {
			this.unansweredRequests++;
			if (this.unansweredRequests > MAX_UNANSWERED_REQUESTS) {
				this.link.close();
				return;
			}
			this.link.send(new Message.RetryLoanRequest(service));
		}

		@Override
		public void opened(Link openedLink) {
			// The link queues messages sent before it is open.
		}

		@Override
		public void received(Link sender, long version, Message message) {
			if (message instanceof Message.RetryLoan loan) {
				if (loan.granted()) {
					PeerRetryLoanClient.this.onLoan.accept(loan.service());
				}
				PeerRetryLoanClient.this.control.execute(() -> this.unansweredRequests = 0);
			}
		}

		@Override
		public void writable(Link writableLink) {
			// Requests are few and small, so backpressure is ignored.
		}

		@Override
		public void closed(Link closedLink) {
			PeerRetryLoanClient.this.control.execute(() -> PeerRetryLoanClient.this.links.remove(this.address, this));
		}

	}

}
