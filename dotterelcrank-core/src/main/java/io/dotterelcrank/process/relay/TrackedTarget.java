package io.dotterelcrank.process.relay;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.process.limit.RatePermitClient;
import io.dotterelcrank.process.limit.RequestRateGate;
import io.dotterelcrank.process.limit.TargetRateLimiter;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.speed.DecayingRate;

/**
 * State of one target as known to this process: the requests that this process has
 * outstanding there, the last load report of the target's sidecar, and the observed
 * failure rate and response time. Confined to the traffic thread.
 */
final class TrackedTarget {

	/**
	 * Max age of a load report that is used, in milliseconds; sidecars report at least
	 * once a second, and two reports may be lost.
	 */
	static final long MAX_LOAD_AGE_MILLIS = 2_500;

	/** Max backoff of an unreachable target, in milliseconds. */
	static final long MAX_BACKOFF_MILLIS = 8_000;

	/** Doublings after which the backoff has reached its maximum; avoids overflow. */
	private static final int MAX_BACKOFF_DOUBLINGS = 10;

	/** Weight of a new observation in the exponentially weighted moving averages. */
	private static final double EWMA_WEIGHT = 0.2;

	/** Horizon of the speed that responses show, in milliseconds. */
	private static final double SPEED_HORIZON_MILLIS = 10_000;

	/**
	 * Observed time that weighs as much as the assumption that a target is as fast as
	 * others of its service, in milliseconds.
	 */
	private static final double EQUAL_SPEED_WEIGHT_MILLIS = 500;

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final Logger logger = LoggerFactory.getLogger(TrackedTarget.class);

	private final Clock clock;

	/** Used only while the target is cold. */
	private final TargetRateLimiter coldRateLimiter;

	private final RequestRateGate rateGate;

	/** In order of sending. */
	private final Set<OutstandingRequest> outstandingRequests = new LinkedHashSet<>();

	/**
	 * Expected size, in tokens, of the KV backups that the engine keeps for attempts of
	 * this process.
	 */
	private final Map<RelayAttempt, Long> backupTokens = new HashMap<>();

	/** Whether the engine is copying the KV cache of a generation of this process. */
	private boolean kvCopyRunning;

	/** Address as {@code ip:port}, in the form of load reports. */
	private String address;

	/** Registration and listing of the target; its incarnation does not change. */
	private Target membership;

	/** Whether a response of the target has said that it is draining. */
	private boolean saidLeaving;

	/**
	 * Until when another engine counts as running at the target's address, unless its
	 * sidecar says so again.
	 */
	private long replacedUntilMillis;

	/** {@code null} before the first load report. */
	private EngineLoad load;

	private long loadReceivedMillis;

	/** Moving average, from 0 to 1. */
	private double failureRate;

	/** Moving average; 0 before the first response. */
	private double responseMillis;

	/**
	 * Expected over observed time until first events, per millisecond observed; above 1
	 * if the target is faster than others of its service.
	 */
	private final DecayingRate relativeSpeed = DecayingRate.of(SPEED_HORIZON_MILLIS);

	/** When the backoff after failed connections or a refusal ends. */
	private long backoffUntilMillis;

	/** Failed connections since the last success. */
	private int consecutiveFailedConnections;

	/** Time before which the sidecar gets no admission requests. */
	private long sidecarBackoffUntilMillis;

	TrackedTarget(Clock clock, Target target, TargetRateLimiter coldRateLimiter, RatePermitClient permits,
			UniformRandomProvider random) {
		this.clock = clock;
		this.membership = target;
		this.address = address(target);
		this.coldRateLimiter = coldRateLimiter;
		this.rateGate = RequestRateGate.of(clock, target.registration().id(), permits, random);
	}

	void update(Target updated) {
		if (!updated.registration().address().equals(this.membership.registration().address())) {
			this.address = address(updated);
		}
		this.membership = updated;
	}

	private static String address(Target target) {
		InetSocketAddress address = target.registration().address();
		return address.getAddress().getHostAddress() + ':' + address.getPort();
	}

	/**
	 * Replaces the load report.
	 * @param reported load report
	 * @return what it means for requests
	 */
	LoadChange updateLoad(EngineLoad reported) {
		EngineLoad former = load();
		boolean wasLeaving = leaving();
		long formerPrefillTokens = pendingPrefillTokens(1);
		this.replacedUntilMillis = 0;
		this.load = reported;
		this.loadReceivedMillis = this.clock.millis();
		if (wasLeaving != leaving()) {
			return LoadChange.LEAVING_CHANGED;
		}
		boolean gained = former == null || pendingPrefillTokens(1) < formerPrefillTokens
				|| reported.running() < former.running() || reported.memoryUsed() < former.memoryUsed()
				|| reported.growthTokens() < former.growthTokens();
		return gained ? LoadChange.CAPACITY_GAINED : LoadChange.NO_GAIN;
	}

	/**
	 * Records that the sidecar at the target's address reports another engine: the target
	 * has ended, but is still listed, or the report is older than the registration.
	 */
	void recordReplaced() {
		this.replacedUntilMillis = this.clock.millis() + MAX_LOAD_AGE_MILLIS;
	}

	String address() {
		return this.address;
	}

	Target membership() {
		return this.membership;
	}

	String id() {
		return this.membership.registration().id();
	}

	/**
	 * Returns the version of the target's software.
	 * @return the version, or "-" if it is not known
	 */
	String versionText() {
		String version = this.membership.registration().version();
		return version.isEmpty() ? "-" : version;
	}

	/**
	 * Returns the last load report of the sidecar.
	 * @return the report, or {@code null} if there is none or it is stale
	 */
	EngineLoad load() {
		boolean fresh = this.load != null && this.clock.millis() - this.loadReceivedMillis <= MAX_LOAD_AGE_MILLIS;
		return fresh ? this.load : null;
	}

	/**
	 * Returns the age of the last load report.
	 * @return time since it was received, in milliseconds; {@link Long#MAX_VALUE} if
	 * there is none
	 */
	long loadAgeMillis() {
		return (this.load != null) ? this.clock.millis() - this.loadReceivedMillis : Long.MAX_VALUE;
	}

	/**
	 * Returns whether the last load report came from a sidecar.
	 * @return {@code false} if it was read directly or is stale
	 */
	boolean reportedBySidecar() {
		EngineLoad fresh = load();
		return fresh != null && !fresh.service().isEmpty();
	}

	/**
	 * Returns whether the target is draining.
	 * @return {@code true} according to its registration, its last load report or one of
	 * its responses
	 */
	boolean leaving() {
		EngineLoad fresh = load();
		return this.saidLeaving || this.membership.registration().leaving() || (fresh != null && fresh.leaving());
	}

	/**
	 * Records that a response of the target says that it is draining, which stays true
	 * for its incarnation.
	 */
	void recordLeaving() {
		if (!this.saidLeaving) {
			LogEvent.TARGET_SAID_LEAVING.log(logger, id());
		}
		this.saidLeaving = true;
	}

	/**
	 * Returns whether new requests may be sent to the target.
	 * @return {@code false} if it is draining, its data centre is taken out of service,
	 * or another engine runs at its address
	 */
	boolean acceptsNewWork() {
		return this.membership.acceptsNewWork() && !leaving() && this.clock.millis() >= this.replacedUntilMillis;
	}

	/**
	 * Returns whether the end of the target is expected.
	 * @return {@code true} if it is draining, no longer listed, or its data centre is
	 * taken out of service
	 */
	boolean leavingAsAnnounced() {
		return !acceptsNewWork() || !this.membership.listed();
	}

	/**
	 * Returns the name of the target's incarnation.
	 * @return id and start time, since a restarted target may keep its id
	 */
	String incarnation() {
		return id() + '@' + this.membership.registration().bornMillis();
	}

	/**
	 * Reserves the engine for a KV copy. Engines send copies one at a time, so a second
	 * copy would only delay the first.
	 * @return {@code false} if another KV copy of this process is under way
	 */
	boolean tryReserveKvCopy() {
		boolean idle = !this.kvCopyRunning;
		this.kvCopyRunning = true;
		return idle;
	}

	void releaseKvCopy() {
		this.kvCopyRunning = false;
	}

	boolean inBackoff() {
		return this.clock.millis() < this.backoffUntilMillis;
	}

	/**
	 * Starts a backoff that doubles with each consecutive failed connection, up to
	 * {@link #MAX_BACKOFF_MILLIS}.
	 * @param initialMillis backoff after the first failed connection, in milliseconds
	 */
	void connectionFailed(long initialMillis) {
		long millis = Math.min(MAX_BACKOFF_MILLIS,
				initialMillis << Math.min(this.consecutiveFailedConnections, MAX_BACKOFF_DOUBLINGS));
		this.consecutiveFailedConnections++;
		this.backoffUntilMillis = this.clock.millis() + millis;
	}

	/**
	 * Starts a fixed backoff after the target has refused a request.
	 * @param millis length of the backoff, in milliseconds
	 */
	void backOff(long millis) {
		this.backoffUntilMillis = this.clock.millis() + millis;
	}

	boolean cold() {
		return this.clock.millis() < this.membership.coldUntilMillis();
	}

	TargetRateLimiter coldRateLimiter() {
		return this.coldRateLimiter;
	}

	RequestRateGate rateGate() {
		return this.rateGate;
	}

	/**
	 * Records a request that is sent to the target, or that awaits admission there.
	 * @param promptTokens tokens of the prompt; 0 if the request is no generation
	 * @param expectedTotalTokens expected tokens of prompt and output; 0 if the request
	 * is no generation
	 * @return handle to pass to {@link #recordEnd}
	 */
	OutstandingRequest recordSend(long promptTokens, long expectedTotalTokens) {
		OutstandingRequest request = new OutstandingRequest(promptTokens, expectedTotalTokens, this.clock.millis());
		this.outstandingRequests.add(request);
		return request;
	}

	void recordEnd(OutstandingRequest request) {
		this.outstandingRequests.remove(request);
	}

	/**
	 * Records that the engine is asked to keep a KV backup.
	 * @param attempt attempt that runs the generation
	 * @param expectedTotalTokens expected tokens of prompt and output
	 */
	void recordBackup(RelayAttempt attempt, long expectedTotalTokens) {
		this.backupTokens.put(attempt, expectedTotalTokens);
	}

	void recordBackupEnd(RelayAttempt attempt) {
		this.backupTokens.remove(attempt);
	}

	void recordSuccess(double observedMillis) {
		this.consecutiveFailedConnections = 0;
		this.failureRate -= EWMA_WEIGHT * this.failureRate;
		this.responseMillis += ((this.responseMillis == 0) ? 1 : EWMA_WEIGHT) * (observedMillis - this.responseMillis);
	}

	void recordFailure() {
		this.failureRate += EWMA_WEIGHT * (1 - this.failureRate);
	}

	double failureRate() {
		return this.failureRate;
	}

	double responseMillis() {
		return this.responseMillis;
	}

	int outstandingRequestCount() {
		return this.outstandingRequests.size();
	}

	/**
	 * Estimates the prompt tokens that the target has not yet prefilled: those that its
	 * sidecar reported, plus those of the requests that this process has sent since.
	 * Without a load report, those of all its outstanding requests, times the number of
	 * hosts.
	 * @param entryHosts number of entry hosts
	 * @return number of tokens
	 */
	long pendingPrefillTokens(int entryHosts) {
		EngineLoad fresh = load();
		long sinceMillis = (fresh != null) ? this.loadReceivedMillis : 0;
		long sentSinceTokens = this.outstandingRequests.stream()
			.filter((request) -> !request.prefillDone() && request.sentMillis() >= sinceMillis)
			.mapToLong(OutstandingRequest::promptTokens)
			.sum();
		return (fresh != null) ? fresh.unreadTokens() + sentSinceTokens : sentSinceTokens * entryHosts;
	}

	/**
	 * Estimates when a prompt that is sent now would be prefilled. Prompt tokens that the
	 * engine had not prefilled when it was last reported shrink at the rate that its
	 * sidecar told.
	 * @param promptTokens tokens of the prompt
	 * @param entryHosts number of entry hosts
	 * @param fallback prefill rate to assume while its sidecar tells none
	 * @return time in seconds
	 */
	double startSeconds(long promptTokens, int entryHosts, double fallback) {
		double rate = prefillTokensPerSecond(fallback);
		double prefilledSince = prefillRateKnown()
				? Math.min(this.load.unreadTokens(), rate * loadAgeMillis() / MILLIS_PER_SECOND) : 0;
		return (pendingPrefillTokens(entryHosts) - prefilledSince + promptTokens) / rate;
	}

	/**
	 * Records the time until the first event of a generation.
	 * @param tokens prompt tokens that were prefilled before it
	 * @param millis time since the generation was sent, in milliseconds
	 * @param statistics statistics of the service
	 */
	void recordFirstEvent(long tokens, long millis, GenerationStatistics statistics) {
		double expectedMillis = tokens * MILLIS_PER_SECOND / statistics.prefillTokensPerSecond();
		this.relativeSpeed.record(this.clock.millis(), expectedMillis, millis);
	}

	/**
	 * Returns how much faster first events come than expected of a target of its service.
	 * @return factor on the typical speed; 1 without responses of late
	 */
	double relativeSpeed() {
		return this.relativeSpeed.perMilli(this.clock.millis(), 1, EQUAL_SPEED_WEIGHT_MILLIS);
	}

	/**
	 * Returns how fast the engine prefills.
	 * @param fallback rate to assume while its sidecar tells none
	 * @return prompt tokens per second
	 */
	double prefillTokensPerSecond(double fallback) {
		return prefillRateKnown() ? this.load.speed().prefillTokensPerSecond() : fallback;
	}

	/**
	 * Returns whether its sidecar tells how fast the engine prefills.
	 * @return {@code false} if it does not know or its report is stale
	 */
	boolean prefillRateKnown() {
		EngineLoad fresh = load();
		return fresh != null && fresh.speed().prefillKnown();
	}

	/**
	 * Returns whether no admission requests are sent to its sidecar.
	 * @return {@code true} for a while after one that got no response in time
	 */
	boolean sidecarInBackoff() {
		return this.clock.millis() < this.sidecarBackoffUntilMillis;
	}

	void backOffSidecar(long millis) {
		this.sidecarBackoffUntilMillis = this.clock.millis() + millis;
	}

	/**
	 * Returns the expected memory of all outstanding requests when they end, and of the
	 * KV backups that the engine keeps for this process.
	 * @return tokens of prompts and outputs
	 */
	long expectedCommittedTokens() {
		return this.outstandingRequests.stream().mapToLong(OutstandingRequest::expectedTotalTokens).sum()
				+ this.backupTokens.values().stream().mapToLong(Long::longValue).sum();
	}

	/**
	 * Returns the state of the target.
	 * @return values by name, for dumps
	 */
	Map<String, Object> dump() {
		Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("id", id());
		dump.put("service", this.membership.registration().service());
		dump.put("version", versionText());
		dump.put("dataCentre", this.membership.registration().dataCentre());
		dump.put("open", acceptsNewWork());
		dump.put("listed", this.membership.listed());
		dump.put("ownRequests", outstandingRequestCount());
		dump.put("failedShare", failureRate());
		dump.put("load", String.valueOf(load()));
		dump.put("requestLimit", this.rateGate.limit().requestsPerSecond());
		return dump;
	}

}
