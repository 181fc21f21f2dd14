/**
 * A simulated network between entry hosts and sidecars, with fault injection.
 */
package io.dotterelcrank.standin.transport;
