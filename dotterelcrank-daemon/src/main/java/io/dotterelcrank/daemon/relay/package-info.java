/**
 * Daemons that relay callers' requests to targets, with the HTTP server and client.
 */
package io.dotterelcrank.daemon.relay;
