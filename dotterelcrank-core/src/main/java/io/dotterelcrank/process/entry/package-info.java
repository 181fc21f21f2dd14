/**
 * The entry process: requests of callers, links to sidecars, resuming of generations.
 */
package io.dotterelcrank.process.entry;
