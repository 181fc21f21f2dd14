/**
 * Replicas of the platform's keyed tables, kept current from the store and from peers.
 */
package io.dotterelcrank.process.replica;
