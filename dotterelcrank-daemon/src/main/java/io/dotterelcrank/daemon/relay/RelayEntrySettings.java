package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;

import io.dotterelcrank.process.relay.RelaySettings;

/**
 * Settings of a relaying entry daemon. Immutable.
 *
 * @param common settings that sidecars have too
 * @param callerAddress address to bind for callers
 * @param readinessAddress address to bind for the load balancer's readiness check
 * @param peerAddress address to bind for peers and sidecars; registered in the members
 * table
 * @param relay data centre and retry budget
 * @param drainMillis drain time: maximum time from a target's announcement that it leaves
 * until it gets no new requests, in milliseconds
 * @param configMillis time from the acceptance of a configuration until it must be in
 * force, in milliseconds
 * @param graceMillis grace period: time between the signal to stop and the end of the
 * process, in milliseconds
 */
public record RelayEntrySettings(RelayCommonSettings common, InetSocketAddress callerAddress,
		InetSocketAddress readinessAddress, InetSocketAddress peerAddress, RelaySettings relay, long drainMillis,
		long configMillis, long graceMillis) {
}
