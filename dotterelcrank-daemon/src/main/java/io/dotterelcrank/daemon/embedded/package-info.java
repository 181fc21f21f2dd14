/**
 * A whole fleet in one process, connected over sockets, and the demonstration that runs
 * on it.
 */
package io.dotterelcrank.daemon.embedded;
