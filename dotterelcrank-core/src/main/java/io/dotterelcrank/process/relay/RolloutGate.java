package io.dotterelcrank.process.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.rollout.RolloutClient;
import io.dotterelcrank.process.rollout.RolloutControl;
import io.dotterelcrank.process.rollout.RolloutDecision;
import io.dotterelcrank.process.rollout.RolloutOrder;
import io.dotterelcrank.process.rollout.RolloutOutcome;

/**
 * Applies the decisions of {@link RolloutControl} to the targets of this host, and passes
 * it what the host knows and sees. Invariant: without roll-outs in the deployment, every
 * version may get every request and nothing is recorded. Confined to the traffic thread.
 */
public final class RolloutGate {

	private final RolloutControl control;

	private final boolean enabled;

	private final RelayMetrics metrics;

	/** Orders in force by service. */
	private final Map<String, RolloutOrder> orders = new HashMap<>();

	/** Newest decisions by service. */
	private final Map<String, RolloutDecision> decisions = new HashMap<>();

	private RolloutGate(RolloutControl control, boolean enabled, RelayMetrics metrics) {
		this.control = control;
		this.enabled = enabled;
		this.metrics = metrics;
	}

	static RolloutGate of(Clock clock, RelaySettings settings, RolloutClient client, RelayMetrics metrics) {
		return new RolloutGate(RolloutControl.of(clock, settings.host(), settings.rollouts(), client),
				settings.rollouts().enabled(), metrics);
	}

	/**
	 * Updates orders and decisions. A plan that came with them is to be used only after
	 * this call.
	 * @param view what the host knows now
	 */
	public void update(RolloutView view) {
		if (!this.enabled) {
			return;
		}
		this.control.updateHosts(view.hosts());
		this.control.updateAge(view.ageMillis());
		view.withdrawn().forEach((service) -> {
			if (this.orders.remove(service) != null) {
				this.control.removeOrder(service);
			}
		});
		view.orders().forEach((order) -> {
			this.orders.put(order.service(), order);
			this.control.updateOrder(order);
		});
		view.decisions().forEach(this::updateDecision);
	}

	private void updateDecision(RolloutDecision decision) {
		RolloutDecision previous = this.decisions.put(decision.service(), decision);
		if (!decision.equals(previous)) {
			this.metrics.recordRolloutDecision(decision.stage().name().toLowerCase(Locale.ROOT));
		}
		this.control.updateDecision(decision);
	}

	void updateTargets(List<Target> targets) {
		if (this.enabled) {
			this.control.updateTargets(targets.stream().map(Target::registration).toList());
		}
	}

	/**
	 * Handles the evidence of another host.
	 * @param evidence counts of that host
	 */
	public void handleEvidence(Message.RolloutEvidence evidence) {
		if (this.enabled) {
			this.control.handleEvidence(evidence);
		}
	}

	void poll(TargetPool targetPool) {
		if (!this.enabled) {
			return;
		}
		this.orders.forEach((service, order) -> this.control.updateOutstanding(service,
				targetPool.outstandingRequests(service, order.version())));
		this.control.poll();
	}

	/**
	 * Returns whether a target's version may get a request now.
	 * @param target target of any version
	 * @return {@code false} if the version gets nothing, or no more of this host
	 */
	boolean allows(TrackedTarget target) {
		return !this.enabled || this.control.allows(target.membership().registration());
	}

	/**
	 * Returns the targets of which one is to be chosen.
	 * @param candidates targets that may get the request
	 * @return those whose version has not had its share yet, or all if there are none
	 */
	List<TrackedTarget> preferred(List<TrackedTarget> candidates) {
		if (!this.enabled) {
			return candidates;
		}
		List<TrackedTarget> preferred = candidates.stream()
			.filter((target) -> this.control.prefers(target.membership().registration()))
			.toList();
		return preferred.isEmpty() ? candidates : preferred;
	}

	/**
	 * Records that a choice of a target left out those of a version that gets nothing for
	 * now.
	 */
	void recordRefusal() {
		this.metrics.recordExposureRefusal();
	}

	/**
	 * Returns whether what a target runs has to be moved to another version.
	 * @param target target of any version
	 * @return {@code true} while a roll-out waits for the target to become idle
	 */
	boolean isBeingReplaced(TrackedTarget target) {
		return this.enabled && this.control.isBeingReplaced(target.membership().registration());
	}

	void recordSend(TrackedTarget target) {
		if (!this.enabled) {
			return;
		}
		TargetRegistration registration = target.membership().registration();
		this.control.recordSend(registration);
		if (isTrial(registration)) {
			this.metrics.recordTrialSend();
		}
	}

	private boolean isTrial(TargetRegistration registration) {
		RolloutOrder order = this.orders.get(registration.service());
		RolloutDecision decision = this.decisions.get(registration.service());
		boolean decided = order != null && decision != null && decision.orderOffset() == order.offset()
				&& decision.stage() != RolloutDecision.Stage.TRIAL;
		return order != null && !decided && order.version().equals(registration.version());
	}

	void recordOutcome(TrackedTarget target, String route, boolean failed, long millis) {
		if (this.enabled) {
			TargetRegistration registration = target.membership().registration();
			this.control.recordOutcome(new RolloutOutcome(registration.service(), registration.version(), route,
					registration.dataCentre(), failed, millis));
		}
	}

	List<Map<String, Object>> dump() {
		return this.control.dump();
	}

}
