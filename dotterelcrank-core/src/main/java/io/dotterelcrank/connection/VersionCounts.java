package io.dotterelcrank.connection;

import java.util.List;

/**
 * Counts of the outcomes of one version on one route in one data centre, since the
 * beginning of a roll-out. Immutable.
 *
 * @param route name of the route
 * @param dataCentre data centre of the targets
 * @param candidate whether they are counts of the new version
 * @param requests number of outcomes
 * @param failed number of failed requests
 * @param latencies number of other requests by class of their response time, see
 * {@link LatencyHistogram}; empty classes at the end are left out
 */
public record VersionCounts(String route, String dataCentre, boolean candidate, long requests, long failed,
		List<Long> latencies) {
}
