package io.dotterelcrank.process.rollout;

import io.dotterelcrank.connection.Message;

/**
 * Sends what a roll-out needs to other processes. Calls return at once. Confined to the
 * traffic thread.
 */
public interface RolloutClient {

	/**
	 * Sends the evidence of this host to another entry host. It may be lost.
	 * @param host name of the host
	 * @param evidence counts of this host
	 */
	void send(String host, Message.RolloutEvidence evidence);

	/**
	 * Proposes a decision to the store, which accepts it only if no other decision was
	 * stored since this host has read the last one. An accepted decision, like one of
	 * another host, arrives by {@link RolloutControl#updateDecision}.
	 * @param decision the decision
	 */
	void propose(RolloutDecision decision);

	/**
	 * Has no roll-outs.
	 */
	enum Disabled implements RolloutClient {

		/** Stateless; shared by all processes. */
		INSTANCE;

		@Override
		public void send(String host, Message.RolloutEvidence evidence) {
			// No host waits for evidence.
		}

		@Override
		public void propose(RolloutDecision decision) {
			// There is no roll-out to decide on.
		}

	}

}
