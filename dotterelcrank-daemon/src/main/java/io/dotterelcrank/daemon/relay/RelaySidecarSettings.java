package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;

/**
 * Settings of a relaying sidecar daemon. Immutable.
 *
 * @param process settings common to the relaying daemons
 * @param engine address of the engine that the sidecar serves
 * @param service service that the engine belongs to
 */
public record RelaySidecarSettings(RelayProcessSettings process, InetSocketAddress engine, String service) {
}
