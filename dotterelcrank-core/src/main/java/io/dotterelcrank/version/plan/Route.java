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
 * @param goalMillis time within which an answer is on time, in milliseconds
 * @param priority rank; 0 is the highest
 * @param shares services and their weights; at least one
 * @param maxAttempts largest number of targets that may run one attempt of a caller
 * @param open whether requests need no key
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, long timeoutMillis, long goalMillis,
		int priority, List<Share> shares, int maxAttempts, boolean open) {

	/**
	 * Chooses a service in proportion to the weights.
	 * @param point where to look, from 0 (inclusive) to 1 (exclusive)
	 * @return name of the service
	 */
	public String service(double point) {
		double total = this.shares.stream().mapToDouble(Share::weight).sum();
		double left = point * total;
		for (Share share : this.shares) {
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
	public record Share(String service, double weight) {
	}

}
