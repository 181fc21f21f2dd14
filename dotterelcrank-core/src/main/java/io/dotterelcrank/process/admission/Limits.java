package io.dotterelcrank.process.admission;

import java.util.function.ToLongFunction;

import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.Setting;
import io.dotterelcrank.version.Subject;

/**
 * Settings that admission uses, as in force now. Immutable.
 *
 * @param tokenTargetMillis step time above which nothing more is admitted
 * @param headroomPercent part of the memory kept free at the predicted peak
 * @param waitMillis longest wait for admission
 * @param queueRequests largest number of waiting requests
 * @param serviceRequests largest number of calls at a plain service
 * @param weights returns the weight of a workspace
 */
public record Limits(long tokenTargetMillis, long headroomPercent, long waitMillis, long queueRequests,
		long serviceRequests, ToLongFunction<String> weights) {

	/**
	 * Reads the limits of a target.
	 * @param configuration configuration in force
	 * @param target the target, without a workspace
	 * @return the limits
	 */
	public static Limits of(Configuration configuration, Subject target) {
		return new Limits(configuration.value(Setting.TOKEN_TARGET_MILLIS, target),
				configuration.value(Setting.MEMORY_HEADROOM_PERCENT, target),
				configuration.value(Setting.ADMISSION_WAIT_MILLIS, target),
				configuration.value(Setting.ADMISSION_QUEUE_REQUESTS, target),
				configuration.value(Setting.SERVICE_LIMIT_REQUESTS, target),
				(workspace) -> configuration.value(Setting.SHARE_WEIGHT, target.withWorkspace(workspace)));
	}

}
