package io.dotterelcrank.process.admission;

import java.util.function.ToLongFunction;

import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.Setting;
import io.dotterelcrank.version.Subject;

/**
 * Admission settings of a target. Immutable.
 *
 * @param maxStepMillis maximum predicted step time, in milliseconds
 * @param headroomPercent percentage of the memory kept free at the forecast peak
 * @param maxWaitMillis maximum wait for admission, in milliseconds
 * @param maxQueuedRequests maximum length of the admission queue
 * @param maxServiceRequests maximum concurrency of a plain service
 * @param weights returns the fair-share weight of a workspace
 */
public record Limits(long maxStepMillis, long headroomPercent, long maxWaitMillis, long maxQueuedRequests,
		long maxServiceRequests, ToLongFunction<String> weights) {

	/**
	 * Reads the limits of a target.
	 * @param configuration the configuration in force
	 * @param target the target, without a workspace
	 * @return the limits; weights are looked up on demand
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
