package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;

import io.dotterelcrank.process.relay.RelaySettings;

/**
 * Settings of a relaying entry daemon. Immutable.
 *
 * @param process settings common to the relaying daemons
 * @param callerAddress address at which callers connect
 * @param readinessAddress address of the load balancer's readiness check
 * @param peerAddress address at which peers and sidecars connect
 * @param relay data centre and retry budget
 * @param drainMillis maximum time from a target's announcement that it leaves until it
 * gets no new requests
 * @param graceMillis grace period: time between the signal to stop and the end of the
 * process
 */
public record RelayEntrySettings(RelayProcessSettings process, InetSocketAddress callerAddress,
		InetSocketAddress readinessAddress, InetSocketAddress peerAddress, RelaySettings relay, long drainMillis,
		long graceMillis) {
}
