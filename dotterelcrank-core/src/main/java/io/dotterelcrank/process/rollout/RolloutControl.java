package io.dotterelcrank.process.rollout;

import java.util.Collection;
import java.util.List;
import java.util.Map;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.membership.TargetRegistration;

/**
 * The roll-outs of this host's services: which targets get requests, and what is known of
 * a new version. Confined to the traffic thread.
 */
public final class RolloutControl {

	private final Clock clock;

	private final String host;

	private final RolloutSettings settings;

	private final RolloutClient client;

	private RolloutControl(Clock clock, String host, RolloutSettings settings, RolloutClient client) {
		this.clock = clock;
		this.host = host;
		this.settings = settings;
		this.client = client;
	}

	/**
	 * Creates a control without roll-outs.
	 * @param clock clock of the process
	 * @param host name of this host
	 * @param settings bounds of the deployment
	 * @param client sends evidence and decisions
	 * @return a new control
	 */
	public static RolloutControl of(Clock clock, String host, RolloutSettings settings, RolloutClient client) {
		return new RolloutControl(clock, host, settings, client);
	}

	/**
	 * Updates the entry hosts, which share the exposure of a new version.
	 * @param names names of all hosts, this one included
	 */
	public void updateHosts(Collection<String> names) {
	}

	/**
	 * Updates the age of what this host knows of orders and decisions. With knowledge
	 * that is too old, a new version gets nothing from this host.
	 * @param millis time since the tables were last known to be current, in milliseconds
	 */
	public void updateAge(long millis) {
	}

	/**
	 * Starts a roll-out, or replaces the one of the same service.
	 * @param order order of the operators; ignored if it is known already or older than
	 * the one in force
	 */
	public void updateOrder(RolloutOrder order) {
	}

	/**
	 * Ends a roll-out whose order was withdrawn: its version gets nothing unless it was
	 * completed.
	 * @param service name of the service
	 */
	public void removeOrder(String service) {
	}

	/**
	 * Updates the decision in force.
	 * @param decision newest decision of the store
	 */
	public void updateDecision(RolloutDecision decision) {
	}

	/**
	 * Updates the targets, of which a few are chosen for the trial of a new version.
	 * @param targets registrations of all targets
	 */
	public void updateTargets(Collection<TargetRegistration> targets) {
	}

	/**
	 * Returns whether a target may get a request now. Every send depends on it.
	 * @param target registration of the target
	 * @return {@code false} if its version gets nothing, or no more of this host
	 */
	public boolean allows(TargetRegistration target) {
		return true;
	}

	/**
	 * Returns whether what a target runs has to be moved to another one, since its
	 * version is about to be stopped.
	 * @param target registration of the target
	 * @return {@code true} while the roll-out waits for the old version to become idle
	 */
	public boolean isBeingReplaced(TargetRegistration target) {
		return false;
	}

	/**
	 * Records a request that is sent to a target, on any path.
	 * @param target registration of the target
	 */
	public void recordSend(TargetRegistration target) {
	}

	/**
	 * Records the outcome of a request.
	 * @param outcome outcome at one target
	 */
	public void recordOutcome(RolloutOutcome outcome) {
	}

	/**
	 * Updates the number of this host's requests that the old version still runs.
	 * @param service name of the service
	 * @param requests number of outstanding requests at targets of the old version
	 */
	public void updateOutstanding(String service, int requests) {
	}

	/**
	 * Handles the evidence of another host.
	 * @param evidence counts of that host
	 */
	public void handleEvidence(Message.RolloutEvidence evidence) {
	}

	/**
	 * Sends this host's evidence to the hosts that decide, and decides if this is one of
	 * them. Called every few tens of milliseconds.
	 */
	public void poll() {
	}

	/**
	 * Returns the roll-outs.
	 * @return values by name, one map a service, for dumps
	 */
	public List<Map<String, Object>> dump() {
		return List.of();
	}

}
