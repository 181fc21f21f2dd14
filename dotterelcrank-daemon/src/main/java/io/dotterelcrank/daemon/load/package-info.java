/**
 * Load generation and measurement.
 */
package io.dotterelcrank.daemon.load;
