package io.dotterelcrank.version.plan;

import java.util.List;
import java.util.Optional;

/**
 * Routes the requests for a host and path prefix to services. Immutable.
 *
 * @param name name of the route
 * @param host host name to match, in lower case
 * @param pathPrefix path prefix to match; begins and ends with a slash
 * @param kind whether requests may be executed more than once
 * @param timeoutMillis request timeout in milliseconds
 * @param latencyGoalMillis response time that the route aims at, in milliseconds
 * @param priority priority; 0 is the highest
 * @param services services and their weights; if none has a weight, requests are refused
 * @param maxAttempts maximum number of targets that may execute one attempt of a caller
 * @param apiKeyOptional whether requests without an API key are accepted
 * @param gapGoalMillis longest time between two events of a stream that the route aims
 * at, in milliseconds; 0 if none is set
 * @param resumable whether a caller may resume a stream, in a new request that names the
 * last event it has
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, long timeoutMillis,
		long latencyGoalMillis, int priority, List<WeightedService> services, int maxAttempts, boolean apiKeyOptional,
		long gapGoalMillis, boolean resumable) {

	/**
	 * Selects a service in proportion to the weights.
	 * @param fraction random number from 0 (inclusive) to 1 (exclusive)
	 * @return name of the service; empty if none has a weight
	 */
	public Optional<String> selectService(double fraction) {
		double totalWeight = this.services.stream().mapToDouble(WeightedService::weight).sum();
		double remaining = fraction * totalWeight;
		Optional<String> selected = Optional.empty();
		for (WeightedService weighted : this.services) {
			if (weighted.weight() > 0 && (selected.isEmpty() || remaining >= 0)) {
				selected = Optional.of(weighted.service());
				remaining -= weighted.weight();
			}
		}
		return selected;
	}

	/**
	 * Service that receives part of the requests of a route. Immutable.
	 *
	 * @param service name of the service
	 * @param weight weight relative to the other services of the route
	 */
	public record WeightedService(String service, double weight) {
	}

}
