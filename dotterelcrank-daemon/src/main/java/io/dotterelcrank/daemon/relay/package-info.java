/**
 * Daemons that pass callers' requests on, and the HTTP on both sides of them.
 */
package io.dotterelcrank.daemon.relay;
