package io.dotterelcrank.process.rollout;

/**
 * Counts of the outcomes of one version on one route in one data centre, since the
 * beginning of a roll-out. Immutable.
 *
 * @param route name of the route
 * @param dataCentre data centre of the targets
 * @param candidate whether they are counts of the new version
 * @param requests number of outcomes
 * @param failed number of failed requests
 * @param slow number of other requests that took several times longer than usual
 */
public record VersionCounts(String route, String dataCentre, boolean candidate, long requests, long failed, long slow) {
}
