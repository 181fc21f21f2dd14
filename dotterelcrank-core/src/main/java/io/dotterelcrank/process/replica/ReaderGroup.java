package io.dotterelcrank.process.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.dotterelcrank.common.RendezvousHash;
import io.dotterelcrank.process.membership.Member;

/**
 * The hosts that share the reading of tables, ranked as seen by one of them. A group has
 * the hosts of one data centre, or of several if each has only a few. Those with faster
 * links rank first, as the reader sends each change to all others; hosts with equal links
 * are ranked by their names. Invariant: hosts with the same list of members agree on
 * groups and ranks. Links count only if those of the whole group are known, since builds
 * that publish none rank by names. Hosts whose lists of members differ for a while may
 * form different groups; some tables are then read twice. Addresses the load pattern of
 * many hosts that poll the same tables, whose calls to the store would grow with the
 * number of hosts. Immutable.
 */
final class ReaderGroup {

	/** Min number of hosts in a group, if there are as many. */
	static final int MIN_SIZE = 4;

	/** Max rank; beyond it, hosts no longer wait longer before they read. */
	static final int MAX_RANK = 2;

	private final String self;

	/** Empty if this host is not yet listed. */
	private final List<Member> hosts;

	/** Link capacities by name of the host; empty if one is not known. */
	private final Map<String, Double> links;

	private ReaderGroup(String self, List<Member> hosts) {
		this.self = self;
		this.hosts = hosts;
		this.links = hosts.stream().allMatch(Member::linkKnown)
				? hosts.stream().collect(Collectors.toMap(Member::name, Member::linkMbps)) : Map.of();
	}

	/**
	 * Returns the group of a host.
	 * @param self name of the host
	 * @param members all entry hosts, in any order
	 * @return the group
	 */
	static ReaderGroup of(String self, Collection<Member> members) {
		Map<String, List<Member>> byDataCentre = new TreeMap<>();
		members.forEach(
				(member) -> byDataCentre.computeIfAbsent(member.dataCentre(), (name) -> new ArrayList<>()).add(member));
		List<List<Member>> groups = new ArrayList<>();
		List<Member> open = new ArrayList<>();
		for (List<Member> hosts : byDataCentre.values()) {
			open.addAll(hosts);
			if (open.size() >= MIN_SIZE) {
				groups.add(open);
				open = new ArrayList<>();
			}
		}
		if (groups.isEmpty()) {
			groups.add(open);
		}
		else {
			groups.get(groups.size() - 1).addAll(open);
		}
		return new ReaderGroup(self,
				groups.stream()
					.filter((group) -> group.stream().anyMatch((member) -> member.name().equals(self)))
					.findFirst()
					.orElse(List.of()));
	}

	private boolean precedes(String name, String other) {
		Double link = this.links.get(name);
		Double otherLink = this.links.get(other);
		if (link != null && otherLink != null && !link.equals(otherLink)) {
			return link > otherLink;
		}
		int order = Long.compare(RendezvousHash.hash(name), RendezvousHash.hash(other));
		return (order != 0) ? order < 0 : name.compareTo(other) < 0;
	}

	/**
	 * Returns the hosts that get the records this host reads.
	 * @return the hosts that rank after it
	 */
	List<Member> followers() {
		return this.hosts.stream().filter((member) -> precedes(this.self, member.name())).toList();
	}

	/**
	 * Returns whether this host may follow another one instead of reading.
	 * @param sender name of the other host, which need not be listed
	 * @return {@code true} if the other host ranks before it
	 */
	boolean mayFollow(String sender) {
		return precedes(sender, this.self);
	}

	/**
	 * Returns the rank of this host among those that follow.
	 * @return number from 0 to {@link #MAX_RANK}
	 */
	int rank() {
		long before = this.hosts.stream().filter((member) -> precedes(member.name(), this.self)).count();
		return (int) Math.min(MAX_RANK, Math.max(0, before - 1));
	}

}
