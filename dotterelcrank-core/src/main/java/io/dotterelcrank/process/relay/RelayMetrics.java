package io.dotterelcrank.process.relay;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;

/**
 * Counters and timers of relayed requests. Thread-safe.
 */
final class RelayMetrics {

	private final MetricRegistry registry;

	RelayMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	void recordEnd(String kind, String outcome, long millis) {
		this.registry.counter("requests." + kind + '.' + outcome).inc();
		this.registry.timer("requests." + kind + ".millis").update(millis, TimeUnit.MILLISECONDS);
	}

	void recordSend(String cause) {
		this.registry.counter("sends." + cause).inc();
	}

	void recordLimitedSend() {
		this.registry.counter("limits.sends").inc();
	}

	void recordRatePermit(boolean granted) {
		this.registry.counter(granted ? "limits.granted" : "limits.refused").inc();
	}

	void recordResume(String outcome) {
		this.registry.counter("handovers." + outcome).inc();
	}

	void recordAdmissionRefusal() {
		this.registry.counter("rooms.refused").inc();
	}

	void recordQuarantined() {
		this.registry.counter("quarantine.refused").inc();
	}

	void recordLoss() {
		this.registry.counter("quarantine.suspects").inc();
	}

	void recordTrialSend() {
		this.registry.counter("rollouts.trials").inc();
	}

	void recordExposureRefusal() {
		this.registry.counter("rollouts.refused").inc();
	}

	void recordRolloutDecision(String stage) {
		this.registry.counter("rollouts." + stage).inc();
	}

	void recordWait(long millis) {
		this.registry.timer("queue.millis").update(millis, TimeUnit.MILLISECONDS);
	}

}
