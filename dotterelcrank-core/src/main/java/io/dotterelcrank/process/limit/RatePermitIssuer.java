package io.dotterelcrank.process.limit;

import java.util.LinkedHashMap;
import java.util.Map;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.Message;

/**
 * Issues the permits for requests to targets that name a limit, on the one host that all
 * others ask. Addresses the load pattern of many hosts that each have a request for a
 * target that takes fewer than one a second from each. Invariant: the permits issued for
 * a target stay within its rate plus a burst of half a second's requests, at least one.
 * Confined to the traffic thread.
 */
public final class RatePermitIssuer {

	/** Number of targets; beyond that, the one that was added first is forgotten. */
	static final int MAX_TARGETS = 1_000;

	/**
	 * Lowest rate at which permits are issued, in requests a second: the responses to
	 * these requests show when a limit of 0 is lifted.
	 */
	static final double MIN_REQUESTS_PER_SECOND = 0.1;

	/** Requests for a permit that are welcome for each permit that is issued. */
	static final double REQUESTS_PER_PERMIT = 4;

	/** Shortest time after which a host may ask again, in milliseconds. */
	static final long MIN_RETRY_MILLIS = 20;

	/** Longest time after which a host may ask again, in milliseconds. */
	public static final long MAX_RETRY_MILLIS = 10_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Clock clock;

	private final TargetRateLimiter.Factory limiters;

	/** By target id, oldest first. */
	private final Map<String, IssuedTarget> targets = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, IssuedTarget> eldest) {
			return size() > MAX_TARGETS;
		}

	};

	private RatePermitIssuer(Clock clock, TargetRateLimiter.Factory limiters) {
		this.clock = clock;
		this.limiters = limiters;
	}

	/**
	 * Creates an issuer that knows no target.
	 * @param clock clock of the process
	 * @param limiters creates the limiter of a target
	 * @return a new issuer
	 */
	public static RatePermitIssuer of(Clock clock, TargetRateLimiter.Factory limiters) {
		return new RatePermitIssuer(clock, limiters);
	}

	/**
	 * Responds to a host.
	 * @param request request for a permit, or the news that a limit is lifted
	 * @return the permit, a time to ask again, or the news that the limit is lifted
	 */
	public Message.RatePermit issue(Message.RatePermitRequest request) {
		IssuedTarget target = this.targets.computeIfAbsent(request.target(),
				(id) -> new IssuedTarget(this.clock, this.limiters.create()));
		long knownSinceMillis = this.clock.millis() - Math.max(0, request.knownForMillis());
		if (!request.limited()) {
			target.liftedMillis = Math.max(target.liftedMillis, knownSinceMillis);
		}
		if (target.liftedMillis >= knownSinceMillis) {
			return new Message.RatePermit(request.target(), false, false, 0);
		}
		double rate = Math.max(MIN_REQUESTS_PER_SECOND, request.requestsPerSecond());
		if (target.permits.allows(rate, 1)) {
			target.permits.recordSend();
			return new Message.RatePermit(request.target(), true, true, 0);
		}
		return new Message.RatePermit(request.target(), false, true, target.retryAfterMillis(rate));
	}

	/**
	 * Permits of one target. Confined to the traffic thread.
	 */
	private static final class IssuedTarget {

		private final Clock clock;

		private final TargetRateLimiter permits;

		/** When a host last learned that the target names no limit. */
		private long liftedMillis = Long.MIN_VALUE;

		/** Start of the second in which refusals are counted. */
		private long countedSinceMillis;

		private int refusals;

		/** Refusals in the second before. */
		private int lastRefusals;

		IssuedTarget(Clock clock, TargetRateLimiter permits) {
			this.clock = clock;
			this.permits = permits;
		}

		/**
		 * Returns when to ask again: longer than until the next permit if many hosts ask,
		 * so that the requests of all hosts stay in proportion to the rate.
		 * @param rate permits a second
		 * @return time in milliseconds
		 */
		long retryAfterMillis(double rate) {
			long nowMillis = this.clock.millis();
			if (nowMillis - this.countedSinceMillis >= MILLIS_PER_SECOND) {
				this.lastRefusals = this.refusals;
				this.refusals = 0;
				this.countedSinceMillis = nowMillis;
			}
			this.refusals++;
			double crowding = Math.max(this.refusals, this.lastRefusals) / (REQUESTS_PER_PERMIT * rate);
			double millis = MILLIS_PER_SECOND / rate * Math.max(1, crowding);
			return Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, Math.round(millis)));
		}

	}

}
