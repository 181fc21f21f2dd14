package io.dotterelcrank.process.relay;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.version.plan.RequestKind;
import io.dotterelcrank.version.plan.Route;

/**
 * Decides whether a request may be sent again, and what its caller is told if not.
 * Addresses the patterns of targets that are lost before they run a request, which may be
 * sent elsewhere whatever its kind, and of a target slower than the others, which is
 * hedged if the request is idempotent. Stateless.
 */
final class RetryPolicy {

	/** Max number of sends as long as no target may have run the request. */
	static final int MAX_SENDS = 3;

	/** Fraction of the latency goal after which an idempotent request is hedged. */
	static final double HEDGE_AFTER_GOAL_FRACTION = 0.5;

	private RetryPolicy() {
	}

	/**
	 * Returns whether a request may be sent again after all its attempts have failed.
	 * @param route route of the request
	 * @param sendCount number of sends so far
	 * @param mayHaveRun whether a target may have run the request
	 * @return {@code true} if it may be sent again, the retry budget aside
	 */
	static boolean allowsResend(Route route, int sendCount, boolean mayHaveRun) {
		if (route.kind() == RequestKind.IDEMPOTENT) {
			return sendCount < Math.max(route.maxAttempts(), mayHaveRun ? 1 : MAX_SENDS);
		}
		return !mayHaveRun && sendCount < MAX_SENDS;
	}

	/**
	 * Returns whether a request is slow enough to be sent to a second target.
	 * @param route route of the request
	 * @param millisSinceSend time since its only attempt was sent, in milliseconds
	 * @param sendCount number of sends so far
	 * @return {@code true} if it may be hedged, the retry budget aside
	 */
	static boolean hedgeDue(Route route, long millisSinceSend, int sendCount) {
		return route.kind() == RequestKind.IDEMPOTENT && sendCount < route.maxAttempts()
				&& millisSinceSend > route.latencyGoalMillis() * HEDGE_AFTER_GOAL_FRACTION;
	}

	/**
	 * Returns the failure of a request that is not sent again and whose response has not
	 * started.
	 * @param code cause of the failure
	 * @param possiblyReceived whether a target may have received the request
	 * @param message description of the failure
	 * @return the failure; its code is {@link ResultCode#OVERLOADED} instead of
	 * {@link ResultCode#DEADLINE_EXCEEDED} if the request has not run, and
	 * {@link ResultCode#TARGET_LOST} instead of any other code if it may have run
	 */
	static Failure finalFailure(ResultCode code, boolean possiblyReceived, String message) {
		boolean deadlinePassed = code == ResultCode.DEADLINE_EXCEEDED;
		return possiblyReceived ? Failure.mayHaveRun(deadlinePassed ? code : ResultCode.TARGET_LOST, message)
				: Failure.notRun(deadlinePassed ? ResultCode.OVERLOADED : code, message);
	}

	/**
	 * Returns the failure of a request whose target has answered with a status that
	 * promises that it has not run, without saying so itself.
	 * @param status status of the target's response
	 * @return a failure without a suggested retry delay; the one that the target names
	 * concerns the target
	 */
	static Failure refusalAfterRun(int status) {
		return Failure.mayHaveRun(ResultCode.TARGET_FAILED,
				"the target answered with status " + status + " and may have run the request");
	}

}
