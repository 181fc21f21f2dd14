package io.dotterelcrank.process.relay;

/**
 * Figures of a deployment that bound the relay. Immutable.
 *
 * @param dataCentre data centre of the process
 * @param retryRatio requests that may be sent again, for each request; shared by all
 * hosts
 * @param retrySlack requests that may be sent again besides, in a window; shared by all
 * hosts
 * @param retryWindowMillis length of the window, in milliseconds
 */
public record RelaySettings(String dataCentre, double retryRatio, double retrySlack, long retryWindowMillis) {
}
