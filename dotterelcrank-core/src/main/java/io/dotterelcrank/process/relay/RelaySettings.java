package io.dotterelcrank.process.relay;

import io.dotterelcrank.process.rollout.RolloutSettings;

/**
 * Data centre, retry budget, time limits and bounds of roll-outs of an entry host.
 * Immutable.
 *
 * @param dataCentre data centre of the process
 * @param retryRatio retries allowed per request; shared by all hosts
 * @param retrySlack additional retries allowed per window; shared by all hosts
 * @param retryWindowMillis length of the window, in milliseconds
 * @param configMillis time from the acceptance of a configuration until it must be in
 * force, in milliseconds
 * @param graceMillis grace period: time between the signal to stop and the end of the
 * process, in milliseconds
 * @param host name of the host; used only for roll-outs
 * @param rollouts bounds of roll-outs
 * @param yieldsToShorterGoals whether generations with much time left leave room at
 * engines for those with a shorter latency goal
 * @param firstStart whether the system starts for the first time, so that no process
 * before this one has used the retry budget
 */
public record RelaySettings(String dataCentre, double retryRatio, double retrySlack, long retryWindowMillis,
		long configMillis, long graceMillis, String host, RolloutSettings rollouts, boolean yieldsToShorterGoals,
		boolean firstStart) {

	/**
	 * Creates settings of a deployment without roll-outs that starts for the first time
	 * and in which no generation yields.
	 * @param dataCentre data centre of the process
	 * @param retryRatio retries allowed per request; shared by all hosts
	 * @param retrySlack additional retries allowed per window; shared by all hosts
	 * @param retryWindowMillis length of the window, in milliseconds
	 * @param configMillis time from the acceptance of a configuration until it must be in
	 * force, in milliseconds
	 * @param graceMillis grace period, in milliseconds
	 */
	public RelaySettings(String dataCentre, double retryRatio, double retrySlack, long retryWindowMillis,
			long configMillis, long graceMillis) {
		this(dataCentre, retryRatio, retrySlack, retryWindowMillis, configMillis, graceMillis, "",
				RolloutSettings.DISABLED, false, true);
	}

}
