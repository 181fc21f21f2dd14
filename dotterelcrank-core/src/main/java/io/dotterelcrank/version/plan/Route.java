package io.dotterelcrank.version.plan;

import java.util.List;

/**
 * Sends the requests of a host and path to services. Immutable.
 *
 * @param name name of the route
 * @param host host that requests name, in lower case
 * @param pathPrefix beginning of the path; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time a request is kept waiting, in milliseconds
 * @param latencyGoalMillis time within which an answer is on time, in milliseconds
 * @param priority rank; 0 is the highest
 * @param shares services and their weights; at least one
 * @param maxAttempts largest number of targets that may run one attempt of a caller
 * @param keyOptional whether requests need no key
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, long timeoutMillis,
		long latencyGoalMillis, int priority, List<WeightedService> shares, int maxAttempts, boolean keyOptional) {

	/**
	 * Chooses a service in proportion to the weights.
	 * @param fraction where to look, from 0 (inclusive) to 1 (exclusive)
	 * @return name of the service
	 */
	public String selectService(double fraction) {
		double total = this.shares.stream().mapToDouble(WeightedService::weight).sum();
		double left = fraction * total;
		for (WeightedService share : this.shares) {
			left -= share.weight();
			if (left < 0) {
				return share.service();
			}
		}
		return this.shares.get(this.shares.size() - 1).service();
	}

	/**
	 * Part of a route's requests. Immutable.
	 *
	 * @param service name of the service
	 * @param weight weight of the service, relative to the others
	 */
	public record WeightedService(String service, double weight) {
	}

}
