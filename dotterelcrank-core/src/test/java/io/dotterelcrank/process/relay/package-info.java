/**
 * Tests of the relay with recorded targets, sidecars and callers.
 */
package io.dotterelcrank.process.relay;
