/**
 * The daemons, their life cycle and their Dagger components.
 */
package io.dotterelcrank.daemon.wiring;
