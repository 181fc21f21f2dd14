package io.dotterelcrank.process.relay;

/**
 * Data centre and retry budget of an entry host. Immutable.
 *
 * @param dataCentre data centre of the process
 * @param retryRatio retries allowed per request; shared by all hosts
 * @param retrySlack additional retries allowed per window; shared by all hosts
 * @param retryWindowMillis length of the window, in milliseconds
 */
public record RelaySettings(String dataCentre, double retryRatio, double retrySlack, long retryWindowMillis) {
}
