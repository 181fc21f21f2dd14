package io.dotterelcrank.process.relay;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;

/**
 * The request rate that one target names for all hosts together, as this host knows it
 * from the target's responses. Confined to the traffic thread.
 */
final class RequestRateGate {

	private static final Logger logger = LoggerFactory.getLogger(RequestRateGate.class);

	private final Clock clock;

	/** Id of the target, for logs. */
	private final String targetId;

	private RequestLimit limit = RequestLimit.NONE;

	/** When the limit was last named. */
	private long namedMillis;

	RequestRateGate(Clock clock, String targetId) {
		this.clock = clock;
		this.targetId = targetId;
	}

	/**
	 * Updates the limit from a response of the target. A response without a limit lifts
	 * the present one only if its request was sent after that one was named, since
	 * responses on different connections may overtake each other.
	 * @param answered limit that the response names
	 * @param sentMillis when the request of the response was sent
	 */
	void update(RequestLimit answered, long sentMillis) {
		if (answered.named() && !answered.readable()) {
			LogEvent.REQUEST_LIMIT_UNREADABLE.log(logger, this.targetId, this.limit.requestsPerSecond());
			this.namedMillis = this.clock.millis();
			return;
		}
		if (!answered.named() && (!this.limit.named() || sentMillis < this.namedMillis)) {
			return;
		}
		if (!answered.equals(this.limit)) {
			LogEvent.REQUEST_LIMIT_CHANGED.log(logger, this.targetId, answered.requestsPerSecond(),
					this.limit.requestsPerSecond());
		}
		this.limit = answered;
		this.namedMillis = this.clock.millis();
	}

	/**
	 * Returns the limit that is in force.
	 * @return the limit that was last named and not lifted
	 */
	RequestLimit limit() {
		return this.limit;
	}

}
