/**
 * Membership: the known targets, and the processes that accept links from peers.
 */
package io.dotterelcrank.process.membership;
