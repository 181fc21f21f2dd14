package io.dotterelcrank.process.replica;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.process.membership.Member;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReaderGroup}.
 */
class ReaderGroupTests {

	private static Member member(int number, String dataCentre) {
		return new Member("host-" + number, InetSocketAddress.createUnresolved("host-" + number, 80), dataCentre);
	}

	private static Member withLink(Member member, double linkMbps) {
		return new Member(member.name(), member.address(), member.dataCentre(), linkMbps);
	}

	/**
	 * Returns the hosts with a fast link for the given ones, and a slow link for all
	 * others.
	 */
	private static List<Member> withLinks(List<Member> members, Integer... fast) {
		return IntStream.range(0, members.size())
			.mapToObj((i) -> withLink(members.get(i), List.of(fast).contains(i) ? 140 : 7))
			.toList();
	}

	/** Returns the names by rank; all hosts of the group must agree on it. */
	private static List<String> ranking(List<Member> members) {
		List<String> ranking = members.stream()
			.sorted(Comparator.comparing((Member member) -> -ReaderGroup.of(member.name(), members).followers().size()))
			.map(Member::name)
			.toList();
		for (int i = 0; i < ranking.size(); i++) {
			ReaderGroup group = ReaderGroup.of(ranking.get(i), members);
			assertThat(group.followers()).extracting(Member::name)
				.containsExactlyInAnyOrderElementsOf(ranking.subList(i + 1, ranking.size()));
			assertThat(ranking.stream().filter(group::mayFollow))
				.containsExactlyInAnyOrderElementsOf(ranking.subList(0, i));
			assertThat(group.rank()).isEqualTo(Math.min(ReaderGroup.MAX_RANK, Math.max(0, i - 1)));
		}
		return ranking;
	}

	private static List<Member> members(int count, int dataCentres) {
		return IntStream.range(0, count).mapToObj((i) -> member(i, "dc-" + i % dataCentres)).toList();
	}

	private static long firstHosts(List<Member> members) {
		return members.stream()
			.filter((member) -> members.stream()
				.noneMatch((other) -> ReaderGroup.of(other.name(), members).followers().contains(member)))
			.count();
	}

	@Test
	void largeDataCentreIsGroupOfItsOwn() {
		List<Member> members = members(24, 3);
		assertThat(firstHosts(members)).isEqualTo(3);
		for (Member member : members) {
			assertThat(ReaderGroup.of(member.name(), members).followers())
				.allMatch((follower) -> follower.dataCentre().equals(member.dataCentre()));
		}
	}

	@Test
	void smallDataCentresShareGroup() {
		assertThat(firstHosts(members(4, 4))).isOne();
		assertThat(firstHosts(members(6, 3))).isOne();
	}

	@Test
	void groupDoesNotDependOnOrderOfMembers() {
		List<Member> members = members(40, 9);
		List<Member> shuffled = new ArrayList<>(members);
		Collections.shuffle(shuffled, new Random(3));
		for (Member member : members) {
			assertThat(ReaderGroup.of(member.name(), shuffled).followers())
				.containsExactlyInAnyOrderElementsOf(ReaderGroup.of(member.name(), members).followers());
		}
	}

	@Test
	void hostFollowsExactlyThoseWhoseFollowerItIs() {
		List<Member> members = members(10, 1);
		for (Member member : members) {
			ReaderGroup group = ReaderGroup.of(member.name(), members);
			for (Member other : members) {
				assertThat(group.mayFollow(other.name()))
					.isEqualTo(ReaderGroup.of(other.name(), members).followers().contains(member));
			}
		}
	}

	@Test
	void ranksOfFollowersGrowUpToTheLimit() {
		List<Member> members = members(6, 1);
		assertThat(members.stream().map((member) -> ReaderGroup.of(member.name(), members).rank()).sorted())
			.containsExactly(0, 0, 1, 2, 2, 2);
	}

	/**
	 * The pushes of a reader with a slow link took all of it, so that its followers got
	 * versions seconds late and its callers nothing.
	 */
	@Test
	void hostsWithFasterLinksRankFirst() {
		List<Member> members = members(9, 1);
		List<String> byHash = ranking(members);
		for (int fast = 0; fast < 9; fast++) {
			int otherFast = (fast + 4) % 9;
			List<String> fastHosts = List.of("host-" + fast, "host-" + otherFast);
			List<String> expected = new ArrayList<>(byHash.stream().filter(fastHosts::contains).toList());
			byHash.stream().filter((name) -> !fastHosts.contains(name)).forEach(expected::add);
			assertThat(ranking(withLinks(members, fast, otherFast))).isEqualTo(expected);
		}
	}

	/** A build that publishes no capacity ranks all hosts by their names. */
	@Test
	void groupWithAHostOfUnknownLinkIsRankedByNames() {
		List<Member> members = members(9, 1);
		List<Member> mixed = new ArrayList<>(withLinks(members, 2, 5));
		mixed.set(7, withLink(mixed.get(7), Member.UNKNOWN_LINK));
		assertThat(ranking(mixed)).isEqualTo(ranking(members));
	}

	@Test
	void groupDoesNotDependOnLinksInOtherGroups() {
		List<Member> members = members(24, 3);
		List<Member> mixed = new ArrayList<>(withLinks(members, 0, 1, 2));
		mixed.set(22, withLink(mixed.get(22), Member.UNKNOWN_LINK));
		assertThat(ReaderGroup.of("host-0", mixed).followers()).hasSize(7);
		assertThat(ReaderGroup.of("host-2", mixed).followers()).hasSize(7);
		assertThat(ReaderGroup.of("host-1", mixed).followers()).extracting(Member::name)
			.isEqualTo(ReaderGroup.of("host-1", members).followers().stream().map(Member::name).toList());
	}

	@Test
	void unlistedSenderIsRankedByItsName() {
		List<Member> members = withLinks(members(9, 1), 0);
		for (Member member : members) {
			List<Member> others = members.stream().filter((other) -> other != member).toList();
			ReaderGroup group = ReaderGroup.of("host-0", others);
			assertThat(group.mayFollow(member.name()))
				.isEqualTo(ReaderGroup.of("host-0", List.of()).mayFollow(member.name()));
		}
	}

	@Test
	void unlistedHostHasNoFollowers() {
		assertThat(ReaderGroup.of("host-99", members(10, 1)).followers()).isEmpty();
		assertThat(ReaderGroup.of("host-99", List.of()).rank()).isZero();
	}

}
