package io.dotterelcrank.daemon.settings;

/**
 * HTTP URLs of the platform's systems. Immutable.
 *
 * @param log URL of the log
 * @param hostList URL of the host list
 * @param weightStore URL of the weight store
 */
public record PlatformSettings(String log, String hostList, String weightStore) {
}
