package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;

import io.dotterelcrank.process.relay.RelaySettings;

/**
 * Settings of a relaying entry daemon. Immutable.
 *
 * @param process settings that all relaying daemons have
 * @param callers address for callers
 * @param ready address at which the balancer asks whether the process is ready
 * @param peers address for peers and sidecars
 * @param relay figures that bound the relay
 * @param drainMillis time within which a leaving target gets no new work, in milliseconds
 * @param graceMillis time between the signal to stop and the end of the process, in
 * milliseconds
 */
public record RelayEntrySettings(RelayProcessSettings process, InetSocketAddress callers, InetSocketAddress ready,
		InetSocketAddress peers, RelaySettings relay, long drainMillis, long graceMillis) {
}
