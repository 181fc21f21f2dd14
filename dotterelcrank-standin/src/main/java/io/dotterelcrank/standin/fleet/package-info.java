/**
 * A fleet of entry processes, sidecars and stand-ins on one manual clock.
 */
package io.dotterelcrank.standin.fleet;
