package io.dotterelcrank.process.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Stream;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.admission.LengthEstimator;
import io.dotterelcrank.process.speed.EngineSpeedMeter;
import io.dotterelcrank.process.stall.StallMonitor;

/**
 * Decides at a sidecar which requests its engine admits. Addresses the load pattern of
 * many entry hosts that see the same load report and all choose the engine that was free
 * a moment ago. Invariant: an admitted request counts until the engine reports its first
 * event, restarts, or fails to report the request in time. Not thread-safe.
 */
public final class AdmissionLedger {

	/**
	 * Part of a typical prompt that may wait for prefill beyond what the requesting host
	 * knew, while a request is still admitted.
	 */
	static final double PREFILL_QUEUE_TOLERANCE = 1.0 / 3;

	/** Assumed part of a prompt of unknown length that is not yet prefilled. */
	static final double UNKNOWN_PENDING_FRACTION = 0.5;

	/** Tokens of a typical prompt before the first admission request. */
	static final long INITIAL_PROMPT_TOKENS = 3_000;

	/** Weight of a new request in the moving average of prompt lengths. */
	private static final double EWMA_WEIGHT = 0.05;

	/**
	 * Time for which an admitted request may be missing from the engine's report, in
	 * milliseconds; connections are opened within 400 ms.
	 */
	static final long MAX_UNREPORTED_MILLIS = 1_000;

	private final Clock clock;

	/** Admitted requests whose prefill is not complete, by id, oldest first. */
	private final Map<String, AdmittedRequest> admitted = new LinkedHashMap<>();

	/** Tokens already prefilled of requests without an event yet, by id. */
	private Map<String, Long> prefilledTokens = Map.of();

	/** Sizes of the admitted requests that are pending or run, by id. */
	private final Map<String, Size> sizes = new HashMap<>();

	/** Tokens in memory of each running request, by id. */
	private Map<String, Long> runningTokens = Map.of();

	/** Output lengths of requests that ended here. */
	private final LengthEstimator lengths = LengthEstimator.create();

	/** Begins anew when the engine restarts. */
	private EngineSpeedMeter speedMeter = EngineSpeedMeter.create();

	private final StallMonitor stallMonitor;

	private double typicalPromptTokens = INITIAL_PROMPT_TOKENS;

	/** When an admitted request last produced its first event; 0 before. */
	private long lastStartMillis;

	/** {@code null} before the first report. */
	private EngineLoad lastReport;

	/** Whether the last attempt to read a report succeeded. */
	private boolean readable;

	private AdmissionLedger(Clock clock) {
		this.clock = clock;
		this.stallMonitor = StallMonitor.of(clock);
	}

	/**
	 * Creates an empty ledger.
	 * @param clock clock of the process
	 * @return a ledger that admits nothing before the first load report
	 */
	public static AdmissionLedger of(Clock clock) {
		return new AdmissionLedger(clock);
	}

	/**
	 * Updates the ledger from a report of the engine. A restart of the engine clears it.
	 * @param load load with the engine's identity
	 * @param activeRequests all requests that hold KV cache memory; any other request
	 * waits at the engine or is unknown to it
	 */
	public void updateLoad(EngineLoad load, List<EngineReport.ActiveRequest> activeRequests) {
		if (this.lastReport != null && this.lastReport.bornMillis() != load.bornMillis()) {
			this.admitted.clear();
			this.sizes.clear();
			this.runningTokens = Map.of();
			this.speedMeter = EngineSpeedMeter.create();
		}
		this.lastReport = load;
		this.speedMeter.recordReport(this.clock.millis(),
				activeRequests.stream()
					.map((request) -> new EngineSpeedMeter.Run(request.id(), request.tokens(), request.events()))
					.toList(),
				admittedPrompts().toList());
		this.readable = true;
		updateRunning(activeRequests);
		Map<String, Long> prefilledById = new HashMap<>();
		Set<String> started = new HashSet<>();
		for (EngineReport.ActiveRequest request : activeRequests) {
			if (request.events() == 0) {
				prefilledById.put(request.id(), request.tokens());
			}
			else {
				started.add(request.id());
			}
		}
		this.prefilledTokens = prefilledById;
		this.stallMonitor
			.update(new StallMonitor.Observation(load.bornMillis(), load.waiting(), prefilledById, started));
		recordPrefill(started);
		this.admitted.keySet().removeAll(started);
		expireUnreported(load.waiting());
	}

	/**
	 * Records that the engine's report cannot be read. Nothing is admitted until one can.
	 */
	public void recordUnreadable() {
		this.readable = false;
	}

	private void recordPrefill(Set<String> started) {
		List<AdmittedRequest> completed = started.stream().map(this.admitted::get).filter(Objects::nonNull).toList();
		if (completed.isEmpty()) {
			return;
		}
		long nowMillis = this.clock.millis();
		long firstMillis = completed.stream().mapToLong(AdmittedRequest::admittedMillis).min().orElse(nowMillis);
		this.stallMonitor.recordPrefill(completed.stream().mapToLong(AdmittedRequest::promptTokens).sum(),
				nowMillis - Math.max(firstMillis, this.lastStartMillis));
		this.lastStartMillis = nowMillis;
	}

	private void updateRunning(List<EngineReport.ActiveRequest> activeRequests) {
		Map<String, Long> running = new HashMap<>();
		activeRequests.forEach((request) -> running.put(request.id(), request.tokens()));
		this.runningTokens.forEach((id, tokens) -> {
			Size ended = running.containsKey(id) ? null : this.sizes.remove(id);
			if (ended != null) {
				this.lengths.recordLength("", (int) Math.max(1, tokens - ended.promptTokens()));
			}
		});
		this.runningTokens = running;
	}

	/**
	 * Estimates the tokens that the running requests still produce: the expected size
	 * less the present one, or what longer outputs had left on average once it is
	 * exceeded.
	 * @return number of tokens
	 */
	private long growthTokens() {
		LengthEstimator.Distribution distribution = this.lengths.distribution("");
		int unlisted = Math.max(0, this.lastReport.running() - this.runningTokens.size());
		double growth = unlisted * distribution.mean() / 2;
		for (Map.Entry<String, Long> run : this.runningTokens.entrySet()) {
			Size size = this.sizes.get(run.getKey());
			if (size == null) {
				growth += distribution.mean() / 2;
			}
			else if (run.getValue() < size.expectedTotalTokens()) {
				growth += size.expectedTotalTokens() - Math.max(run.getValue(), size.promptTokens());
			}
			else {
				growth += distribution.meanRemaining(run.getValue() - size.promptTokens());
			}
		}
		return Math.round(growth);
	}

	/**
	 * Removes admitted requests that never arrived: those not reported by the engine
	 * within {@link #MAX_UNREPORTED_MILLIS}, oldest first. As many as wait at the engine
	 * are kept, since waiting requests are reported without their ids.
	 * @param waiting number of requests that wait at the engine
	 */
	private void expireUnreported(int waiting) {
		long admittedBefore = this.clock.millis() - MAX_UNREPORTED_MILLIS;
		List<String> unreported = this.admitted.entrySet()
			.stream()
			.filter((entry) -> !this.prefilledTokens.containsKey(entry.getKey())
					&& entry.getValue().admittedMillis() < admittedBefore)
			.map(Map.Entry::getKey)
			.toList();
		unreported.stream().limit(Math.max(0, unreported.size() - waiting)).forEach((id) -> {
			this.admitted.remove(id);
			this.sizes.remove(id);
		});
	}

	/**
	 * Returns the last reported load, with estimates of the prompt tokens not yet
	 * prefilled (those of admitted requests, an assumed number for each other one, and
	 * those that a stall costs) and of the tokens still to be produced, and with the
	 * measured speed.
	 * @return the load, or {@code null} before the first report
	 */
	public EngineLoad load() {
		return (this.lastReport != null) ? this.lastReport.withUnreadTokens(pendingPrefillTokens())
			.withGrowthTokens(growthTokens())
			.withSpeed(this.speedMeter.speed(this.clock.millis())) : null;
	}

	/**
	 * Returns the length of a typical prompt.
	 * @return moving average over the admission requests, in tokens
	 */
	public long typicalPromptTokens() {
		return Math.round(this.typicalPromptTokens);
	}

	private Stream<EngineSpeedMeter.Prompt> admittedPrompts() {
		return this.admitted.entrySet()
			.stream()
			.map((entry) -> new EngineSpeedMeter.Prompt(entry.getKey(), entry.getValue().promptTokens(),
					entry.getValue().admittedMillis()));
	}

	private long pendingPrefillTokens() {
		long tokens = 0;
		int unreported = 0;
		for (Map.Entry<String, AdmittedRequest> entry : this.admitted.entrySet()) {
			Long prefilled = this.prefilledTokens.get(entry.getKey());
			tokens += Math.max(0, entry.getValue().promptTokens() - ((prefilled != null) ? prefilled : 0));
			unreported += (prefilled != null) ? 0 : 1;
		}
		for (Map.Entry<String, Long> entry : this.prefilledTokens.entrySet()) {
			if (!this.admitted.containsKey(entry.getKey())) {
				tokens += Math.max(0, unknownPendingTokens() - entry.getValue());
			}
		}
		tokens -= admittedPrompts().limit(1)
			.mapToLong((oldest) -> this.speedMeter.prefilledTokens(this.clock.millis(), oldest))
			.sum();
		int unknownWaiting = Math.max(0, this.lastReport.waiting() - unreported);
		return tokens + unknownWaiting * unknownPendingTokens()
				+ this.stallMonitor.stalledTokens(largestPendingPromptTokens());
	}

	private long largestPendingPromptTokens() {
		return this.admitted.values()
			.stream()
			.mapToLong(AdmittedRequest::promptTokens)
			.reduce(typicalPromptTokens(), Math::max);
	}

	/**
	 * Returns how long the engine has started none of the requests that it holds, or has
	 * not reported at all.
	 * @return time in milliseconds; 0 if it is not stalled
	 */
	public long stalledMillis() {
		return this.stallMonitor.stalledMillis(largestPendingPromptTokens());
	}

	private long unknownPendingTokens() {
		return Math.round(UNKNOWN_PENDING_FRACTION * this.typicalPromptTokens);
	}

	/**
	 * Admits a request if the engine has the capacity. An idle engine admits a request of
	 * any size.
	 * @param request resources that the generation needs
	 * @return {@code true} if the request is admitted and counted
	 */
	public boolean tryAdmit(Message.AdmissionRequest request) {
		this.typicalPromptTokens += EWMA_WEIGHT * (request.promptTokens() - this.typicalPromptTokens);
		EngineLoad load = load();
		if (!this.readable || load.leaving()) {
			return false;
		}
		boolean queueTooLong = load.unreadTokens() > request.knownPendingPrefillTokens()
				+ PREFILL_QUEUE_TOLERANCE * this.typicalPromptTokens;
		boolean idle = load.running() == 0 && load.waiting() == 0 && this.admitted.isEmpty();
		boolean fits = PlacementStrategy.ForEngines.fits(load, request.expectedTotalTokens() + request.reserveTokens(),
				load.memoryTotal(), request.maxPendingPrefillTokens());
		if (queueTooLong || (!fits && !idle)) {
			return false;
		}
		this.admitted.put(request.id(), new AdmittedRequest(request.promptTokens(), this.clock.millis()));
		this.sizes.put(request.id(), new Size(request.promptTokens(), request.expectedTotalTokens()));
		return true;
	}

	/**
	 * Size of a request. Immutable.
	 *
	 * @param promptTokens tokens of its prompt
	 * @param expectedTotalTokens expected tokens of prompt and output
	 */
	private record Size(long promptTokens, long expectedTotalTokens) {
	}

	/**
	 * An admitted request. Immutable.
	 *
	 * @param promptTokens tokens of its prompt
	 * @param admittedMillis when it was admitted, in milliseconds
	 */
	private record AdmittedRequest(long promptTokens, long admittedMillis) {
	}

}
