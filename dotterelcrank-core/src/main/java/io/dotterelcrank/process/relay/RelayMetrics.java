package io.dotterelcrank.process.relay;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;

/**
 * Counters and timings of passed-on requests. Thread-safe.
 */
final class RelayMetrics {

	/** The metrics of the process. */
	private final MetricRegistry registry;

	RelayMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	void ended(String kind, String outcome, long millis) {
		this.registry.counter("requests." + kind + '.' + outcome).inc();
		this.registry.timer("requests." + kind + ".millis").update(millis, TimeUnit.MILLISECONDS);
	}

	void sent(String cause) {
		this.registry.counter("sends." + cause).inc();
	}

	void handover(String outcome) {
		this.registry.counter("handovers." + outcome).inc();
	}

	void roomRefused() {
		this.registry.counter("rooms.refused").inc();
	}

	void queued(long millis) {
		this.registry.timer("queue.millis").update(millis, TimeUnit.MILLISECONDS);
	}

}
