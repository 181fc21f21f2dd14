package io.dotterelcrank.process.rollout;

/**
 * Outcome of one request at one target. Immutable.
 *
 * @param service name of the service
 * @param version version of the target
 * @param route name of the request's route
 * @param dataCentre data centre of the target
 * @param failed whether the target failed it: a server error of its own, or a response
 * that broke off or cannot be used
 * @param millis time to the response or, for a stream, to its first event, in
 * milliseconds
 */
public record RolloutOutcome(String service, String version, String route, String dataCentre, boolean failed,
		long millis) {
}
