package io.dotterelcrank.process.membership;

import java.net.InetSocketAddress;

/**
 * A process of the system that accepts links from its peers. Immutable.
 *
 * @param name name of its host
 * @param address where it accepts links
 */
public record Member(String name, InetSocketAddress address) {
}
