package io.dotterelcrank.daemon.settings;

/**
 * Settings of an entry daemon. Immutable.
 *
 * @param name name of the host in the host list
 * @param dataCentre its data centre
 * @param address IP address to bind
 * @param port port for callers; 0 for a free one
 * @param operatorPort port for metrics, health checks and dumps; 0 for a free one
 * @param operatorToken bearer token required of operators; empty for none
 * @param platform URLs of the platform's systems
 * @param routing name of the routing policy
 * @param noticeMillis time at the start of a graceful shutdown for which requests are
 * still accepted, in milliseconds
 */
public record EntrySettings(String name, String dataCentre, String address, int port, int operatorPort,
		String operatorToken, PlatformSettings platform, String routing, long noticeMillis) {
}
