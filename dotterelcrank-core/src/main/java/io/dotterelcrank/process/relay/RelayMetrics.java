package io.dotterelcrank.process.relay;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;

/**
 * Counters and timers of relayed requests. Thread-safe.
 */
final class RelayMetrics {

	private static final long MIN_SIZE_CLASS_TOKENS = 1_024;

	private static final long MAX_SIZE_CLASS_TOKENS = 16_384;

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

	void recordDiverted() {
		this.registry.counter("admissions.diverted").inc();
	}

	void recordYield() {
		this.registry.counter("prefill.yielded").inc();
	}

	void recordRefusedAfterYield() {
		this.registry.counter("prefill.refused").inc();
	}

	/**
	 * Records the time to the first event, by the size of the prompt.
	 * @param promptTokens tokens of the prompt
	 * @param millis time since the request arrived, in milliseconds
	 */
	void recordFirstEvent(long promptTokens, long millis) {
		long upTo = MIN_SIZE_CLASS_TOKENS;
		while (upTo < promptTokens && upTo < MAX_SIZE_CLASS_TOKENS) {
			upTo *= 2;
		}
		String sizeClass = (promptTokens <= upTo) ? "to-" + upTo : "longer";
		this.registry.timer("first-event.prompt-" + sizeClass + ".millis").update(millis, TimeUnit.MILLISECONDS);
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

	void recordLateness(long millis) {
		this.registry.timer("traffic.late.millis").update(millis, TimeUnit.MILLISECONDS);
	}

	void recordWait(long millis) {
		this.registry.timer("queue.millis").update(millis, TimeUnit.MILLISECONDS);
	}

}
