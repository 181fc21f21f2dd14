package io.dotterelcrank.process.relay;

/**
 * Data centre, retry budget and time limits of an entry host. Immutable.
 *
 * @param dataCentre data centre of the process
 * @param retryRatio retries allowed per request; shared by all hosts
 * @param retrySlack additional retries allowed per window; shared by all hosts
 * @param retryWindowMillis length of the window, in milliseconds
 * @param configMillis time from the acceptance of a configuration until it must be in
 * force, in milliseconds
 * @param graceMillis grace period: time between the signal to stop and the end of the
 * process, in milliseconds
 */
public record RelaySettings(String dataCentre, double retryRatio, double retrySlack, long retryWindowMillis,
		long configMillis, long graceMillis) {
}
