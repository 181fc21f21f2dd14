/**
 * Generates load on a fleet, virtual or over sockets, and measures latency, throughput
 * and capacity.
 */
package io.dotterelcrank.daemon.load;
