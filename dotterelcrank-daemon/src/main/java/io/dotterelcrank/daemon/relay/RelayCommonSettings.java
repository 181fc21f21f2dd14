package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings common to the relaying daemons. Immutable.
 *
 * @param name name of the host
 * @param dataCentre its data centre
 * @param store address of the platform's store
 * @param seeds initial addresses of peers; may be outdated or empty
 * @param ip IP address of the host
 * @param metricsPort port for metrics and dumps; 0 for none
 */
public record RelayCommonSettings(String name, String dataCentre, InetSocketAddress store,
		List<InetSocketAddress> seeds, String ip, int metricsPort) {
}
