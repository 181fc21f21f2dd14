/**
 * The entry role: requests of callers, links to sidecars, resumption.
 */
package io.dotterelcrank.process.entry;
