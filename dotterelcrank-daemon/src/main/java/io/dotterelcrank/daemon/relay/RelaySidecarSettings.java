package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;

/**
 * Settings of a relaying sidecar daemon. Immutable.
 *
 * @param process settings that all relaying daemons have
 * @param engine address of the engine beside it
 * @param service service that the engine belongs to
 */
public record RelaySidecarSettings(RelayProcessSettings process, InetSocketAddress engine, String service) {
}
