package io.dotterelcrank.process.relay;

import java.util.List;

import io.dotterelcrank.process.rollout.RolloutDecision;
import io.dotterelcrank.process.rollout.RolloutOrder;

/**
 * What an entry host knows of the roll-outs at one moment. Immutable.
 *
 * @param hosts names of all entry hosts, this one included
 * @param ageMillis time since orders and decisions were last known to be current, in
 * milliseconds
 * @param orders orders in force, one a service
 * @param withdrawn services whose order was withdrawn
 * @param decisions newest decision of each service
 */
public record RolloutView(List<String> hosts, long ageMillis, List<RolloutOrder> orders, List<String> withdrawn,
		List<RolloutDecision> decisions) {
}
