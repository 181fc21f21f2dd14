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
 * @param relay data centre, retry budget and time limits
 * @param drainMillis drain time: maximum time from a target's announcement that it leaves
 * until it gets no new requests, in milliseconds
 * @param linkMbps capacity of the host's network link in Mbit/s; 0 if not known
 */
public record RelayEntrySettings(RelayCommonSettings common, InetSocketAddress callerAddress,
		InetSocketAddress readinessAddress, InetSocketAddress peerAddress, RelaySettings relay, long drainMillis,
		double linkMbps) {
}
