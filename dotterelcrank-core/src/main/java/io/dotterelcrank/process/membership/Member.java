package io.dotterelcrank.process.membership;

import java.net.InetSocketAddress;

/**
 * An entry in the list of processes that accept links from peers. Immutable.
 *
 * @param name name of the host
 * @param address address on which the process accepts links
 */
public record Member(String name, InetSocketAddress address) {
}
