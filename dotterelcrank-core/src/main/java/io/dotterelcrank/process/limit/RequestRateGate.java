package io.dotterelcrank.process.limit;

import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.connection.Message;

/**
 * Keeps this host's requests to one target within the rate that the target names for all
 * hosts together, and sends it none while it wants none. Addresses the load pattern of a
 * target in need that many hosts have requests for. Invariants: a request under a limit
 * takes a permit of the one host that issues them or, if this host's share of the rate is
 * at least a request in half a second, of that share; a limit stays in force until a
 * later response lifts it. Confined to the traffic thread.
 */
public final class RequestRateGate {

	/** Time within which a permit has to be used, in milliseconds. */
	static final long PERMIT_MILLIS = 500;

	/**
	 * Max fraction by which a pause is extended at random, so that not all hosts come
	 * back at once.
	 */
	static final double PAUSE_JITTER_FRACTION = 0.2;

	/** Time after which a request for a permit is repeated, in milliseconds. */
	static final long RESPONSE_TIMEOUT_MILLIS = 150;

	/**
	 * Time after which a request that was not answered counts as lost, in milliseconds.
	 */
	static final long MAX_ROUND_TRIP_MILLIS = 1_000;

	private static final Logger logger = LoggerFactory.getLogger(RequestRateGate.class);

	private final Clock clock;

	private final String targetId;

	private final RatePermitClient permits;

	private final UniformRandomProvider random;

	/** Used while this host's share is large enough. */
	private final TargetRateLimiter share;

	private RequestLimit limit = RequestLimit.NONE;

	/** When the limit was last named. */
	private long namedMillis;

	/** Until when the permit at hand may be used; 0 if there is none. */
	private long permitUntilMillis;

	/** When a permit may be asked for again. */
	private long nextRequestMillis;

	/** Number of requests for permits, and of news, that are not answered yet. */
	private int unanswered;

	/** When the oldest of them was sent, if there are any. */
	private long unansweredSinceMillis;

	/** Until when the target wants no requests from this host. */
	private long pausedUntilMillis;

	private RequestRateGate(Clock clock, String targetId, RatePermitClient permits, UniformRandomProvider random) {
		this.clock = clock;
		this.targetId = targetId;
		this.permits = permits;
		this.random = random;
		this.share = TargetRateLimiter.of(clock);
	}

	/**
	 * Creates a gate without a limit.
	 * @param clock clock of the process
	 * @param targetId id of the target's incarnation
	 * @param permits asks for permits
	 * @param random source of jitter
	 * @return a gate that allows any number of requests
	 */
	public static RequestRateGate of(Clock clock, String targetId, RatePermitClient permits,
			UniformRandomProvider random) {
		return new RequestRateGate(clock, targetId, permits, random);
	}

	/**
	 * Updates the limit from a response of the target. A response without a limit lifts
	 * the present one only if its request was sent after that one was named, since
	 * responses on different connections may overtake each other.
	 * @param answered limit that the response names
	 * @param sentMillis when the request of the response was sent
	 */
	public void update(RequestLimit answered, long sentMillis) {
		long nowMillis = this.clock.millis();
		if (answered.named()) {
			RequestLimit readable = answered.readable() ? answered : this.limit;
			if (!answered.readable()) {
				LogEvent.REQUEST_LIMIT_UNREADABLE.log(logger, this.targetId, this.limit.requestsPerSecond());
			}
			change(readable);
			this.namedMillis = nowMillis;
		}
		else if (this.limit.named() && sentMillis >= this.namedMillis) {
			change(RequestLimit.NONE);
			send(new Message.RatePermitRequest(this.targetId, false, 0, 0));
		}
	}

	private void change(RequestLimit changed) {
		if (!changed.equals(this.limit)) {
			LogEvent.REQUEST_LIMIT_CHANGED.log(logger, this.targetId, changed.requestsPerSecond(),
					this.limit.requestsPerSecond());
		}
		this.limit = changed;
	}

	/**
	 * Sends nothing for a time, as the target has asked for in a response.
	 * @param millis time that the target asks for, in milliseconds; 0 for none
	 */
	public void pause(long millis) {
		if (millis > 0) {
			LogEvent.TARGET_PAUSED.log(logger, this.targetId, millis);
			long jitterMillis = (long) (this.random.nextDouble() * PAUSE_JITTER_FRACTION * millis);
			this.pausedUntilMillis = Math.max(this.pausedUntilMillis, this.clock.millis() + millis + jitterMillis);
		}
	}

	/**
	 * Returns the time until the target may get requests again.
	 * @return time in milliseconds; 0 if it may get them now
	 */
	public long pausedMillis() {
		return Math.max(0, this.pausedUntilMillis - this.clock.millis());
	}

	private void send(Message.RatePermitRequest request) {
		long nowMillis = this.clock.millis();
		if (this.unanswered == 0 || nowMillis - this.unansweredSinceMillis >= MAX_ROUND_TRIP_MILLIS) {
			this.unanswered = 0;
			this.unansweredSinceMillis = nowMillis;
		}
		this.unanswered++;
		this.permits.send(request);
	}

	/**
	 * Handles the response of the host that issues the permits. The news that a limit is
	 * lifted is older than a limit that the target has named since the request, whichever
	 * of those under way it answers.
	 * @param permit permit, refusal, or the news that the limit is lifted
	 */
	public void handlePermit(Message.RatePermit permit) {
		boolean current = this.unanswered > 0 && this.namedMillis <= this.unansweredSinceMillis;
		this.unanswered = Math.max(0, this.unanswered - 1);
		if (!permit.limited()) {
			if (current) {
				change(RequestLimit.NONE);
			}
		}
		else if (permit.granted()) {
			this.permitUntilMillis = this.clock.millis() + PERMIT_MILLIS;
		}
		this.nextRequestMillis = this.clock.millis() + permit.retryAfterMillis();
	}

	/**
	 * Returns whether a request may be sent now; if not, asks for a permit, which may
	 * arrive soon.
	 * @param entryHosts number of hosts that share the rate
	 * @return {@code true} without a limit or with a permit, unless the target wants no
	 * requests
	 */
	public boolean allows(int entryHosts) {
		if (pausedMillis() > 0) {
			return false;
		}
		if (!this.limit.named()) {
			return true;
		}
		if (sharesRate(entryHosts)) {
			return this.share.allows(this.limit.requestsPerSecond(), entryHosts);
		}
		long nowMillis = this.clock.millis();
		boolean allowed = nowMillis < this.permitUntilMillis;
		if (!allowed && nowMillis >= this.nextRequestMillis) {
			this.nextRequestMillis = nowMillis + RESPONSE_TIMEOUT_MILLIS;
			send(new Message.RatePermitRequest(this.targetId, true, this.limit.requestsPerSecond(),
					nowMillis - this.namedMillis));
		}
		return allowed;
	}

	/**
	 * Returns whether this host may keep to its share of the rate without a permit.
	 * Smaller shares would add up to more than the rate, since each allows a burst of one
	 * request.
	 * @param entryHosts number of hosts that share the rate
	 * @return {@code true} if the share is at least a request in half a second
	 */
	private boolean sharesRate(int entryHosts) {
		return this.limit.requestsPerSecond() / 2 >= entryHosts;
	}

	/**
	 * Takes the permit for a request that is sent.
	 */
	public void recordSend() {
		if (this.limit.named()) {
			this.share.recordSend();
			this.permitUntilMillis = 0;
		}
	}

	/**
	 * Returns the limit that is in force.
	 * @return the limit that was last named and not lifted
	 */
	public RequestLimit limit() {
		return this.limit;
	}

}
