/**
 * Relays callers' requests to targets with unchanged bytes: placement, admission, retries
 * and hedged requests, and resuming generations at other engines.
 */
package io.dotterelcrank.process.relay;
