package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings that all relaying daemons have. Immutable.
 *
 * @param name name of the host
 * @param dataCentre its data centre
 * @param store address of the platform's store
 * @param seeds addresses of peers, which may be stale
 * @param ip IP number of the host
 * @param metricsPort port for metrics and dumps; 0 for none
 */
public record RelayProcessSettings(String name, String dataCentre, InetSocketAddress store,
		List<InetSocketAddress> seeds, String ip, int metricsPort) {
}
