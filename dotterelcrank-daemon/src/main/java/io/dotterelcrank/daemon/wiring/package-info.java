/**
 * Dagger components of the daemons, and their life cycle.
 */
package io.dotterelcrank.daemon.wiring;
