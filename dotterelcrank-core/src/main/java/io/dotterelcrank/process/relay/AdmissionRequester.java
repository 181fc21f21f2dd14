package io.dotterelcrank.process.relay;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;

/**
 * Asks the sidecar beside an engine to admit a generation before it is sent there.
 * Addresses the load pattern of many entry hosts that place requests by the same load
 * report. Invariants: at most one admission request of a generation awaits its response;
 * unresponsive sidecars delay the generation at most twice by {@link #TIMEOUT_MILLIS} but
 * never cause a refusal. Confined to the traffic thread.
 */
final class AdmissionRequester {

	/**
	 * Max wait for a response, in milliseconds; a round trip between data centres takes 2
	 * ms, a loaded sidecar some more.
	 */
	static final long TIMEOUT_MILLIS = 40;

	/** Time without admission requests after a sidecar timed out, in milliseconds. */
	static final long SIDECAR_BACKOFF_MILLIS = 1_000;

	/**
	 * Number of refusals after which a prefill queue of any length is accepted, so that
	 * the search for an engine ends.
	 */
	static final int MAX_REFUSALS = 2;

	private static final Logger logger = LoggerFactory.getLogger(AdmissionRequester.class);

	private final RequestPlacement placement;

	private final RelayedRequest request;

	private final RelayService relayService;

	/** Engine whose sidecar was asked; {@code null} unless a response is awaited. */
	private TrackedTarget target;

	/** Counted at the target while the response is awaited. */
	private OutstandingRequest outstandingRequest;

	private long requestNumber;

	private Scheduler.ScheduledTask timeout;

	/** Number of refusals so far, over all engines. */
	private int refusals;

	AdmissionRequester(RequestPlacement placement, RelayedRequest request, RelayService relayService) {
		this.placement = placement;
		this.request = request;
		this.relayService = relayService;
	}

	/**
	 * Sends an admission request to the sidecar beside an engine.
	 * @param engine engine chosen for the generation
	 * @param demand resources that the generation needs
	 * @return {@code false} if the sidecar is unreachable, in backoff, or has not
	 * reported a load
	 */
	boolean trySend(TrackedTarget engine, PlacementStrategy.Demand demand) {
		EngineLoad load = engine.load();
		if (load == null || engine.sidecarInBackoff()) {
			return false;
		}
		long knownPendingPrefillTokens = (this.refusals < MAX_REFUSALS)
				? engine.pendingPrefillTokens(demand.entryHosts()) : load.memoryTotal();
		this.requestNumber = this.relayService.registerAdmissionRequest(this);
		long maxPendingPrefillTokens = PlacementStrategy.ForEngines.maxPendingPrefillTokens(
				engine.prefillTokensPerSecond(this.request.statistics().prefillTokensPerSecond()), demand);
		boolean sent = false;
		try {
			sent = this.relayService.admissionClient()
				.trySend(load.address(),
						new Message.AdmissionRequest(this.requestNumber, this.request.id(), demand.promptTokens(),
								demand.expectedTotalTokens(), knownPendingPrefillTokens, maxPendingPrefillTokens,
								demand.reserveTokens()));
		}
		finally {
			if (!sent) {
				this.relayService.unregisterAdmissionRequest(this.requestNumber);
			}
		}
		if (!sent) {
			return false;
		}
		this.timeout = this.relayService.trafficThread()
			.schedule(TIMEOUT_MILLIS, () -> this.relayService.requests().run(this.request, this::timedOut));
		this.outstandingRequest = engine.recordSend(demand.promptTokens(), demand.expectedTotalTokens());
		this.target = engine;
		return true;
	}

	private void timedOut() {
		TrackedTarget unresponsive = this.target;
		LogEvent.ADMISSION_TIMED_OUT.log(logger, this.request.id(), unresponsive.id(), TIMEOUT_MILLIS);
		unresponsive.backOffSidecar(SIDECAR_BACKOFF_MILLIS);
		cancel();
		this.placement.sidecarTimedOut(unresponsive);
	}

	/**
	 * Handles the response to the awaited admission request.
	 * @param admitted whether the request is admitted
	 * @param load current load of the engine
	 */
	void handleResponse(boolean admitted, EngineLoad load) {
		this.relayService.requests().run(this.request, () -> placeByResponse(admitted, load));
	}

	private void placeByResponse(boolean admitted, EngineLoad load) {
		TrackedTarget engine = this.target;
		cancel();
		if (admitted) {
			this.placement.sendOrPlaceAgain(engine);
			return;
		}
		this.refusals++;
		LogEvent.ADMISSION_REFUSED.log(logger, this.request.id(), engine.id(), this.refusals, load);
		this.relayService.targetPool().updateLoad(load);
		this.placement.admissionRefused(this.refusals <= MAX_REFUSALS);
	}

	boolean awaitsResponse() {
		return this.target != null;
	}

	/**
	 * Stops awaiting a response, if one is awaited. A late response is ignored.
	 */
	void cancel() {
		if (this.target != null) {
			this.timeout.cancel();
			this.relayService.unregisterAdmissionRequest(this.requestNumber);
			this.target.recordEnd(this.outstandingRequest);
			this.target = null;
		}
	}

}
