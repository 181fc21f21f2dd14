package io.dotterelcrank.daemon.settings;

/**
 * Addresses of the platform's systems. Immutable.
 *
 * @param log address of the log
 * @param hostList address of the host list
 * @param weightStore address of the weight store
 */
public record PlatformSettings(String log, String hostList, String weightStore) {
}
