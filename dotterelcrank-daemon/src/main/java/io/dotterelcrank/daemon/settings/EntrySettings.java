package io.dotterelcrank.daemon.settings;

/**
 * Settings of an entry daemon. Immutable.
 *
 * @param name name of the host in the host list
 * @param dataCentre its data centre
 * @param address IP number to bind
 * @param port port for callers; 0 for a free one
 * @param operatorPort port for operators; 0 for a free one
 * @param operatorToken token that operators send, or an empty string
 * @param platform addresses of the platform's systems
 * @param routing name of the routing policy
 * @param noticeMillis time for which a leaving daemon still takes requests, in
 * milliseconds
 */
public record EntrySettings(String name, String dataCentre, String address, int port, int operatorPort,
		String operatorToken, PlatformSettings platform, String routing, long noticeMillis) {
}
