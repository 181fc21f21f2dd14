package io.dotterelcrank.process.rollout;

/**
 * Operators' order to move a service to another version. Immutable.
 *
 * @param service name of the service
 * @param version version that is to get all requests
 * @param durationMillis time from the order within which the roll-out has to end, in
 * milliseconds
 * @param offset offset of the order in the operators' table; identifies it, since the
 * same version may be ordered again
 */
public record RolloutOrder(String service, String version, long durationMillis, long offset) {
}
