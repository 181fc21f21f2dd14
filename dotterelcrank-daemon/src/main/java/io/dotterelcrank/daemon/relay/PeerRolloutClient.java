package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.process.membership.Member;
import io.dotterelcrank.process.rollout.RolloutClient;
import io.dotterelcrank.process.rollout.RolloutDecision;

/**
 * Sends evidence of roll-outs to the hosts that decide, and decisions to the store. State
 * is confined to the control thread.
 */
final class PeerRolloutClient implements RolloutClient {

	/** Number of messages that a link queues before it is open; more are dropped. */
	static final int MAX_SENT_BEFORE_OPEN = 20;

	private final Transport transport;

	private final Scheduler control;

	/** Supplies all entry hosts. */
	private final Supplier<Collection<Member>> members;

	/** Receives proposed decisions; called on the control thread. */
	private final Consumer<RolloutDecision> proposals;

	/** Links to the hosts that decide, by address. */
	private final Map<InetSocketAddress, DeciderLink> links = new HashMap<>();

	PeerRolloutClient(Transport transport, Scheduler control, Supplier<Collection<Member>> members,
			Consumer<RolloutDecision> proposals) {
		this.transport = transport;
		this.control = control;
		this.members = members;
		this.proposals = proposals;
	}

	@Override
	public void send(String host, Message.RolloutEvidence evidence) {
		this.control.execute(() -> this.members.get()
			.stream()
			.filter((member) -> member.name().equals(host))
			.findFirst()
			.ifPresent((member) -> this.links.computeIfAbsent(member.address(), DeciderLink::new).send(evidence)));
	}

	@Override
	public void propose(RolloutDecision decision) {
		this.control.execute(() -> this.proposals.accept(decision));
	}

	/**
	 * Link to a host that decides. Confined to the control thread.
	 */
	private final class DeciderLink implements Link.Listener {

		private final InetSocketAddress address;

		private final Link link;

		private boolean open;

		private int sentBeforeOpen;

		DeciderLink(InetSocketAddress address) {
			this.address = address;
			this.link = PeerRolloutClient.this.transport.open(address, this);
		}

		void send(Message.RolloutEvidence evidence) {
			boolean accepted = this.open ? this.link.writable() : this.sentBeforeOpen++ < MAX_SENT_BEFORE_OPEN;
			if (accepted) {
				this.link.send(evidence);
			}
		}

		@Override
		public void opened(Link openedLink) {
			PeerRolloutClient.this.control.execute(() -> this.open = true);
		}

		@Override
		public void received(Link sender, long version, Message message) {
			// Evidence is not answered.
		}

		@Override
		public void writable(Link writableLink) {
			// Counts are sent again, so none is kept for a link that is full.
		}

		@Override
		public void closed(Link closedLink) {
			PeerRolloutClient.this.control.execute(() -> PeerRolloutClient.this.links.remove(this.address, this));
		}

	}

}
