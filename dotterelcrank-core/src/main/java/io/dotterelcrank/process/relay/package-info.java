/**
 * Passes callers' requests on to targets byte for byte: where they go, what is repeated,
 * and how a stream goes on at another engine.
 */
package io.dotterelcrank.process.relay;
