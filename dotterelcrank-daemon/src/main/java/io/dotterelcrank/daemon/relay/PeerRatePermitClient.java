package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.process.limit.PermitIssuerChoice;
import io.dotterelcrank.process.limit.RatePermitClient;
import io.dotterelcrank.process.membership.Member;

/**
 * Asks the entry host that issues the permits of a target, which may be this one.
 * Invariant: no host counts as silent before what has arrived from it is read. State is
 * confined to the control thread.
 */
final class PeerRatePermitClient implements RatePermitClient {

	private final Transport transport;

	private final Scheduler control;

	private final Clock clock;

	/** Name of this host. */
	private final String self;

	/** Supplies all entry hosts, this one included. */
	private final Supplier<Collection<Member>> members;

	/** Receives requests for which this host issues the permits. */
	private final Consumer<Message.RatePermitRequest> ownRequests;

	/** Receives the responses of other hosts; called on the link's thread. */
	private final Consumer<Message.RatePermit> onPermit;

	private final PermitIssuerChoice choice;

	/** Links to the hosts asked so far, by address. */
	private final Map<InetSocketAddress, IssuerLink> links = new HashMap<>();

	PeerRatePermitClient(Transport transport, Scheduler control, Clock clock, String self,
			Supplier<Collection<Member>> members, Consumer<Message.RatePermitRequest> ownRequests,
			Consumer<Message.RatePermit> onPermit) {
		this.transport = transport;
		this.control = control;
		this.clock = clock;
		this.self = self;
		this.members = members;
		this.ownRequests = ownRequests;
		this.onPermit = onPermit;
		this.choice = PermitIssuerChoice.of(clock);
	}

	@Override
	public void send(Message.RatePermitRequest request) {
		this.control.execute(() -> {
			Optional<IssuerLink> silent = this.links.values().stream().filter(IssuerLink::silent).findFirst();
			if (silent.isPresent()) {
				// One thread reads all links.
				silent.get().link.runAfterReads(() -> this.control.execute(() -> sendToIssuer(request)));
			}
			else {
				sendToIssuer(request);
			}
		});
	}

	private void sendToIssuer(Message.RatePermitRequest request) {
		this.choice.choose(request.target(), this.members.get()).ifPresent((issuer) -> {
			if (issuer.name().equals(this.self)) {
				this.ownRequests.accept(request);
				return;
			}
			this.choice.recordRequest(issuer.name());
			link(issuer).send(request);
		});
	}

	private IssuerLink link(Member issuer) {
		IssuerLink link = this.links.get(issuer.address());
		if (link != null && link.silent()) {
			this.links.remove(issuer.address());
			link.close();
		}
		return this.links.computeIfAbsent(issuer.address(), (address) -> new IssuerLink(issuer));
	}

	/**
	 * Link to one host. Confined to the control thread.
	 */
	private final class IssuerLink implements Link.Listener {

		private final Member issuer;

		private final Link link;

		/** When the oldest unanswered request was sent; 0 if there is none. */
		private long unansweredSinceMillis;

		IssuerLink(Member issuer) {
			this.issuer = issuer;
			this.link = PeerRatePermitClient.this.transport.open(issuer.address(), this);
		}

		void send(Message.RatePermitRequest request) {
			if (this.unansweredSinceMillis == 0) {
				this.unansweredSinceMillis = PeerRatePermitClient.this.clock.millis();
			}
			this.link.send(request);
		}

		/**
		 * Returns whether the link may have failed without being closed.
		 * @return {@code true} if a request was not answered in time
		 */
		boolean silent() {
			return this.unansweredSinceMillis > 0 && PeerRatePermitClient.this.clock.millis()
					- this.unansweredSinceMillis >= PermitIssuerChoice.RESPONSE_TIMEOUT_MILLIS;
		}

		void close() {
			this.link.close();
		}

		@Override
		public void opened(Link openedLink) {
			// The link queues messages sent before it is open.
		}

		@Override
		public void received(Link sender, long version, Message message) {
			if (message instanceof Message.RatePermit permit) {
				PeerRatePermitClient.this.onPermit.accept(permit);
				PeerRatePermitClient.this.control.execute(() -> {
					this.unansweredSinceMillis = 0;
					PeerRatePermitClient.this.choice.recordResponse(this.issuer.name());
				});
			}
		}

		@Override
		public void writable(Link writableLink) {
			// Requests are few and small, so backpressure is ignored.
		}

		@Override
		public void closed(Link closedLink) {
			PeerRatePermitClient.this.control.execute(() -> {
				if (PeerRatePermitClient.this.links.remove(this.issuer.address(), this)) {
					PeerRatePermitClient.this.choice.recordFailure(this.issuer.name());
				}
			});
		}

	}

}
