package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;

/**
 * Settings of a relaying sidecar daemon. Immutable.
 *
 * @param common settings that entry daemons have too
 * @param engine address of the engine that the sidecar serves
 * @param service service that the engine belongs to
 */
public record RelaySidecarSettings(RelayCommonSettings common, InetSocketAddress engine, String service) {
}
