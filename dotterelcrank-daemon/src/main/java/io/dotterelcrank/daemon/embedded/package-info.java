/**
 * A whole fleet in one process, over real sockets.
 */
package io.dotterelcrank.daemon.embedded;
