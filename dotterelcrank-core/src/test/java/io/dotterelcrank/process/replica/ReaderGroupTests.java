package io.dotterelcrank.process.replica;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
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

	@Test
	void unlistedHostHasNoFollowers() {
		assertThat(ReaderGroup.of("host-99", members(10, 1)).followers()).isEmpty();
		assertThat(ReaderGroup.of("host-99", List.of()).rank()).isZero();
	}

}
