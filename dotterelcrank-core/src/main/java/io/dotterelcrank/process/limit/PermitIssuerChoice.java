package io.dotterelcrank.process.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.RendezvousHash;
import io.dotterelcrank.process.membership.Member;

/**
 * Chooses the entry host that issues the permits of a target. All hosts choose the one
 * that ranks first for the target; one that does not respond is passed over for a while.
 * Addresses the load pattern of hosts that restart or leave while targets name limits.
 * Not thread-safe.
 */
public final class PermitIssuerChoice {

	/** Time after which a request counts as unanswered, in milliseconds. */
	public static final long RESPONSE_TIMEOUT_MILLIS = 150;

	/** Time for which an unresponsive host is passed over, in milliseconds. */
	static final long AVOID_MILLIS = 3_000;

	private final Clock clock;

	/** When the oldest unanswered request was sent, by name of the host. */
	private final Map<String, Long> unansweredSince = new HashMap<>();

	/** Until when a host is passed over, by its name. */
	private final Map<String, Long> avoidedUntil = new HashMap<>();

	private PermitIssuerChoice(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Creates a choice among hosts that all count as responsive.
	 * @param clock clock of the process
	 * @return a new choice
	 */
	public static PermitIssuerChoice of(Clock clock) {
		return new PermitIssuerChoice(clock);
	}

	/**
	 * Chooses the host to ask.
	 * @param targetId id of the target's incarnation
	 * @param hosts all entry hosts, this one included
	 * @return the host, or empty if none is known to respond
	 */
	public Optional<Member> choose(String targetId, Collection<Member> hosts) {
		long nowMillis = this.clock.millis();
		return RendezvousHash.rank(targetId, hosts, Member::name)
			.stream()
			.filter((host) -> !isAvoided(host.name(), nowMillis))
			.findFirst();
	}

	private boolean isAvoided(String name, long nowMillis) {
		Long since = this.unansweredSince.get(name);
		if (since != null && nowMillis - since >= RESPONSE_TIMEOUT_MILLIS) {
			recordFailure(name);
		}
		return nowMillis < this.avoidedUntil.getOrDefault(name, Long.MIN_VALUE);
	}

	/**
	 * Records a request that was sent.
	 * @param name name of the host
	 */
	public void recordRequest(String name) {
		this.unansweredSince.putIfAbsent(name, this.clock.millis());
	}

	/**
	 * Records a response.
	 * @param name name of the host
	 */
	public void recordResponse(String name) {
		this.unansweredSince.remove(name);
		this.avoidedUntil.remove(name);
	}

	/**
	 * Records that the link to a host has failed.
	 * @param name name of the host
	 */
	public void recordFailure(String name) {
		this.unansweredSince.remove(name);
		this.avoidedUntil.put(name, this.clock.millis() + AVOID_MILLIS);
	}

}
