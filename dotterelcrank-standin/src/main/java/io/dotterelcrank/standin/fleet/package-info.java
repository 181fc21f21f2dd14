/**
 * Entry processes, sidecars and stand-ins together on one manual clock.
 */
package io.dotterelcrank.standin.fleet;
