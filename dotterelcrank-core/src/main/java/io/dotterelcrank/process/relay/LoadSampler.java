package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.version.plan.ServiceSpec;

/**
 * Reads the load of a few random engines before a generation is placed, if no sidecar
 * reports the load of any engine of its service. Addresses the load pattern of many entry
 * hosts that know only their own requests: some engines get the generations of several
 * hosts while others are idle. Invariants: a generation waits at most
 * {@link #TIMEOUT_MILLIS}, and no engine is read whose sidecar reports. Confined to the
 * traffic thread.
 */
final class LoadSampler {

	/** Number of engines that a short generation can choose from. */
	static final int SAMPLE_SIZE = 3;

	/**
	 * Number of engines that a resumable generation can choose from; one of them runs it
	 * and another keeps its KV backup.
	 */
	static final int RESUMABLE_SAMPLE_SIZE = 5;

	/** Age at which a report is read again, in milliseconds. */
	static final long MAX_REPORT_AGE_MILLIS = 500;

	/** Max time that a generation waits for the reports, in milliseconds. */
	static final long TIMEOUT_MILLIS = 40;

	/** Growth of an engine whose requests were not admitted by this process. */
	private static final long UNKNOWN_GROWTH = -1;

	private final Clock clock;

	private final Scheduler trafficThread;

	private final EngineLoadReader reader;

	private final TargetPool targetPool;

	private final UniformRandomProvider random;

	/** Engines whose report is awaited. */
	private final Set<TrackedTarget> awaited = new HashSet<>();

	/** Samples without all reports, oldest first. */
	private final List<Sample> samples = new ArrayList<>();

	LoadSampler(Clock clock, Scheduler trafficThread, EngineLoadReader reader, TargetPool targetPool,
			UniformRandomProvider random) {
		this.clock = clock;
		this.trafficThread = trafficThread;
		this.reader = reader;
		this.targetPool = targetPool;
		this.random = random;
	}

	/**
	 * Starts reading the load of a sample of engines.
	 * @param service service of the generation
	 * @param size number of engines to choose from
	 * @param onComplete called once, when all reports have arrived or after
	 * {@link #TIMEOUT_MILLIS}; not called if this method returns {@code false}
	 * @return {@code false} if the loads are already known, or there is at most one
	 * engine
	 */
	boolean trySample(ServiceSpec service, int size, Runnable onComplete) {
		List<TrackedTarget> engines = new ArrayList<>(this.targetPool.accepting(service));
		engines.removeIf((engine) -> engine.rateGate().pausedMillis() > 0);
		if (engines.size() <= 1 || engines.stream().anyMatch(TrackedTarget::reportedBySidecar)) {
			return false;
		}
		List<TrackedTarget> sample = new ArrayList<>();
		while (!engines.isEmpty() && sample.size() < size) {
			sample.add(engines.remove(this.random.nextInt(engines.size())));
		}
		sample.removeIf((engine) -> engine.loadAgeMillis() <= MAX_REPORT_AGE_MILLIS);
		if (sample.isEmpty()) {
			return false;
		}
		Sample started = new Sample(sample, onComplete);
		sample.stream().filter(this.awaited::add).forEach(this::read);
		this.samples.add(started);
		started.timeout = this.trafficThread.schedule(TIMEOUT_MILLIS, () -> complete(started));
		return true;
	}

	/**
	 * Reads the load of an engine that runs a generation without a KV backup, so that its
	 * notice to leave is known in time.
	 * @param engine engine that runs the generation
	 */
	void refresh(TrackedTarget engine) {
		boolean paused = engine.rateGate().pausedMillis() > 0;
		if (!paused && !engine.reportedBySidecar() && engine.loadAgeMillis() > MAX_REPORT_AGE_MILLIS
				&& this.awaited.add(engine)) {
			read(engine);
		}
	}

	private void read(TrackedTarget engine) {
		this.reader.read(engine.membership().registration(), (report) -> {
			this.awaited.remove(engine);
			report.ifPresent((received) -> {
				AdmissionLedger ledger = AdmissionLedger.of(this.clock);
				ledger.updateLoad(received.load(), received.activeRequests());
				this.targetPool.updateLoad(ledger.load().withGrowthTokens(UNKNOWN_GROWTH));
			});
			for (Sample sample : List.copyOf(this.samples)) {
				sample.missing.remove(engine);
				if (sample.missing.isEmpty()) {
					complete(sample);
				}
			}
		});
	}

	private void complete(Sample sample) {
		if (this.samples.remove(sample)) {
			sample.timeout.cancel();
			sample.onComplete.run();
		}
	}

	/**
	 * Reports that one generation waits for.
	 */
	private static final class Sample {

		private final Set<TrackedTarget> missing;

		private final Runnable onComplete;

		private Scheduler.ScheduledTask timeout;

		Sample(List<TrackedTarget> missing, Runnable onComplete) {
			this.missing = new HashSet<>(missing);
			this.onComplete = onComplete;
		}

	}

}
