package io.dotterelcrank.process.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;

/**
 * Decides at a sidecar which requests its engine admits. Addresses the load pattern of
 * many entry hosts that see the same load report and all choose the engine that was free
 * a moment ago. Invariant: an admitted request counts until the engine reports its first
 * event, restarts, or fails to report the request in time. Not thread-safe.
 */
public final class AdmissionLedger {

	/**
	 * Max prompt tokens waiting for prefill, beyond those known to the requesting host,
	 * at which a request is still admitted; half a prompt, which is prefilled in about
	 * 0.15 s.
	 */
	static final long PREFILL_QUEUE_TOLERANCE_TOKENS = 1_000;

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

	/** {@code null} before the first report. */
	private EngineLoad lastReport;

	private AdmissionLedger(Clock clock) {
		this.clock = clock;
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
		}
		this.lastReport = load;
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
		this.admitted.keySet().removeAll(started);
		expireUnreported(load.waiting());
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
		unreported.stream().limit(Math.max(0, unreported.size() - waiting)).forEach(this.admitted::remove);
	}

	/**
	 * Returns the last reported load, with an estimate of the prompt tokens not yet
	 * prefilled: those of admitted requests, and an assumed number for each other one.
	 * @return the load, or {@code null} before the first report
	 */
	public EngineLoad load() {
		return (this.lastReport != null) ? this.lastReport.withUnreadTokens(pendingPrefillTokens()) : null;
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
				tokens += Math.max(0, PlacementStrategy.ForEngines.ASSUMED_PENDING_PREFILL_TOKENS - entry.getValue());
			}
		}
		int unknownWaiting = Math.max(0, this.lastReport.waiting() - unreported);
		return tokens + unknownWaiting * PlacementStrategy.ForEngines.ASSUMED_PENDING_PREFILL_TOKENS;
	}

	/**
	 * Admits a request if the engine has the capacity. An idle engine admits a request of
	 * any size.
	 * @param request resources that the generation needs
	 * @return {@code true} if the request is admitted and counted
	 */
	public boolean tryAdmit(Message.AdmissionRequest request) {
		EngineLoad load = load();
		if (load == null || load.leaving()) {
			return false;
		}
		boolean queueTooLong = load.unreadTokens() > request.knownPendingPrefillTokens()
				+ PREFILL_QUEUE_TOLERANCE_TOKENS;
		boolean idle = load.running() == 0 && load.waiting() == 0 && this.admitted.isEmpty();
		boolean fits = PlacementStrategy.ForEngines.fits(load, request.expectedTotalTokens(), load.memoryTotal());
		if (queueTooLong || (!fits && !idle)) {
			return false;
		}
		this.admitted.put(request.id(), new AdmittedRequest(request.promptTokens(), this.clock.millis()));
		return true;
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
