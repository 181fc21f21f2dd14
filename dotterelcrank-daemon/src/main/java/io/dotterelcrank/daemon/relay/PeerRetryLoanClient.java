package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.process.limit.RetryLoanClient;

/**
 * Asks random peers for retry permits. Invariant: at most one request per service is sent
 * each {@link #MIN_INTERVAL_MILLIS}, to {@link #PEERS_PER_REQUEST} peers; a loan counts
 * once, and only for a request of its service that was sent to that peer within
 * {@link #MAX_ROUND_TRIP_MILLIS}. State is confined to the control thread.
 */
final class PeerRetryLoanClient implements RetryLoanClient {

	/** Number of peers asked at once; not every peer has a permit left. */
	static final int PEERS_PER_REQUEST = 2;

	/** Min time between two requests for the same service, in milliseconds. */
	static final long MIN_INTERVAL_MILLIS = 50;

	/**
	 * Age of a request from which on a loan for it is dropped, in milliseconds: the
	 * lender counts the permit in the window in which it lent it.
	 */
	static final long MAX_ROUND_TRIP_MILLIS = 500;

	/**
	 * Age of a request without a response after which a link is replaced, in
	 * milliseconds, as later responses could not be told from the missing one.
	 */
	static final long MAX_UNANSWERED_MILLIS = 2_000;

	/** Number of requests without a response after which a link is replaced. */
	static final int MAX_UNANSWERED_REQUESTS = 3;

	private static final Logger logger = LoggerFactory.getLogger(PeerRetryLoanClient.class);

	private final Transport transport;

	private final Scheduler control;

	private final Clock clock;

	/** Supplies the addresses of peers, without this process. */
	private final Supplier<Collection<InetSocketAddress>> peers;

	/** Receives the name of the service of each permit; called on the control thread. */
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

		/**
		 * When the requests without a response were sent, by service, oldest first; a
		 * peer responds in their order.
		 */
		private final Map<String, Deque<Long>> sentMillis = new HashMap<>();

		PeerLink(InetSocketAddress address) {
			this.address = address;
			this.link = PeerRetryLoanClient.this.transport.open(address, this);
		}

		void request(String service) {
			this.unansweredRequests++;
			if (isSilent(service)) {
				this.link.runAfterReads(() -> PeerRetryLoanClient.this.control.execute(() -> closeIfSilent(service)));
				return;
			}
			this.sentMillis.computeIfAbsent(service, (name) -> new ArrayDeque<>())
				.addLast(PeerRetryLoanClient.this.clock.millis());
			this.link.send(new Message.RetryLoanRequest(service));
		}

		private boolean isSilent(String service) {
			Long oldestMillis = this.sentMillis.getOrDefault(service, new ArrayDeque<>()).peekFirst();
			boolean overdue = oldestMillis != null
					&& PeerRetryLoanClient.this.clock.millis() - oldestMillis > MAX_UNANSWERED_MILLIS;
			return overdue || this.unansweredRequests > MAX_UNANSWERED_REQUESTS;
		}

		private void closeIfSilent(String service) {
			if (isSilent(service)) {
				this.link.close();
			}
		}

		@Override
		public void opened(Link openedLink) {
			// The link queues messages sent before it is open.
		}

		@Override
		public void received(Link sender, long version, Message message) {
			if (message instanceof Message.RetryLoan loan) {
				PeerRetryLoanClient.this.control.execute(() -> handle(loan));
			}
		}

		private void handle(Message.RetryLoan loan) {
			this.unansweredRequests = 0;
			Long requestMillis = this.sentMillis.getOrDefault(loan.service(), new ArrayDeque<>()).pollFirst();
			if (!loan.granted()) {
				return;
			}
			if (requestMillis == null
					|| PeerRetryLoanClient.this.clock.millis() - requestMillis > MAX_ROUND_TRIP_MILLIS) {
				LogEvent.RETRY_LOAN_DROPPED.log(logger, this.address, loan.service());
				return;
			}
			PeerRetryLoanClient.this.onLoan.accept(loan.service());
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
