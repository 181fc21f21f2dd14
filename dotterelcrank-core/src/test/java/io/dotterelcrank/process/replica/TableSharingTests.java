package io.dotterelcrank.process.replica;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link TableSharing}.
 */
class TableSharingTests {

	private static final long BOUND_MILLIS = 2_000;

	private final SimulatedHosts hosts = SimulatedHosts.polling(8, 2, BOUND_MILLIS);

	private int[] readers() {
		return IntStream.range(0, this.hosts.size()).filter((index) -> this.hosts.host(index).reads()).toArray();
	}

	private boolean allHave(long offset) {
		return IntStream.range(0, this.hosts.size()).allMatch((index) -> this.hosts.host(index).nextOffset() > offset);
	}

	@Test
	void oneHostOfEachDataCentreReads() {
		this.hosts.start();
		this.hosts.advance(5_000);
		assertThat(readers()).hasSize(2);
		assertThat(readers()[0] % 2).isNotEqualTo(readers()[1] % 2);
		long calls = this.hosts.storeCalls();
		this.hosts.advance(6_000);
		assertThat(this.hosts.storeCalls() - calls).isBetween(18L, 22L);
	}

	@Test
	void fewHostsInManyDataCentresShareOneReader() {
		SimulatedHosts few = SimulatedHosts.polling(4, 4, BOUND_MILLIS);
		few.start();
		few.advance(5_000);
		assertThat(IntStream.range(0, 4).filter((index) -> few.host(index).reads()).count()).isOne();
	}

	@Test
	void recordReachesAllHostsWithTheReadersNextRead() {
		this.hosts.start();
		this.hosts.advance(5_000);
		long offset = this.hosts.append("config");
		this.hosts.advance((long) (0.3 * BOUND_MILLIS) + 20);
		assertThat(allHave(offset)).isTrue();
	}

	@Test
	void anotherHostTakesOverWhenTheReaderPauses() {
		this.hosts.start();
		this.hosts.advance(5_000);
		int reader = readers()[0];
		this.hosts.host(reader).setPaused(true);
		long offset = this.hosts.append("config");
		this.hosts.advance((long) (0.8 * BOUND_MILLIS));
		assertThat(IntStream.range(0, this.hosts.size()).filter((index) -> index != reader))
			.allMatch((index) -> this.hosts.host(index).nextOffset() > offset);
		this.hosts.host(reader).setPaused(false);
		this.hosts.advance(3_000);
		assertThat(readers()).hasSize(2).contains(reader);
	}

	@Test
	void readerThatTheStoreRefusesIsReplaced() {
		this.hosts.start();
		this.hosts.advance(5_000);
		int reader = readers()[0];
		this.hosts.host(reader).setStorePath(SimulatedHosts.StorePath.REFUSED);
		long offset = this.hosts.append("config");
		this.hosts.advance(2 * BOUND_MILLIS);
		assertThat(IntStream.range(0, this.hosts.size()).filter((index) -> index != reader))
			.allMatch((index) -> this.hosts.host(index).nextOffset() > offset);
	}

	/** A store that turns the reader away kept all its followers on an old version. */
	@ParameterizedTest
	@EnumSource(value = SimulatedHosts.StorePath.class, names = { "REFUSED", "SILENT" })
	void versionIsInForceInTimeThoughTheReaderHasNoPathToTheStore(SimulatedHosts.StorePath path) {
		SimulatedHosts three = SimulatedHosts.longPolling(3, 3, BOUND_MILLIS);
		three.start();
		three.advance(5_000);
		int reader = IntStream.range(0, 3).filter((index) -> three.host(index).reads()).findFirst().orElseThrow();
		three.host(reader).setStorePath(path);
		for (int version = 0; version < 30; version++) {
			three.advance(60);
			long offset = three.append("config");
			three.advance(BOUND_MILLIS);
			assertThat(IntStream.range(0, 3).filter((index) -> index != reader)).as("version %d", version)
				.allMatch((index) -> three.host(index).nextOffset() > offset);
		}
	}

	/** Its records came from a follower, which stopped reading because of them. */
	@Test
	void hostThatGetsItsRecordsFromPeersIsNotFollowed() {
		SimulatedHosts three = SimulatedHosts.longPolling(3, 3, BOUND_MILLIS);
		three.start();
		three.advance(5_000);
		int reader = IntStream.range(0, 3).filter((index) -> three.host(index).reads()).findFirst().orElseThrow();
		three.host(reader).setStorePath(SimulatedHosts.StorePath.REFUSED);
		three.advance(BOUND_MILLIS);
		for (int check = 0; check < 100; check++) {
			three.advance(100);
			assertThat(IntStream.range(0, 3).filter((index) -> index != reader && three.host(index).reads()).count())
				.as("readers at check %d", check)
				.isOne();
		}
	}

	@Test
	void linkThatWentSilentIsReplaced() {
		this.hosts.start();
		this.hosts.advance(5_000);
		int reader = readers()[0];
		int follower = IntStream.range(0, this.hosts.size())
			.filter((index) -> index != reader && index % 2 == reader % 2)
			.findFirst()
			.orElseThrow();
		this.hosts.setCut(reader, follower, true);
		this.hosts.advance(1_000);
		this.hosts.setCut(reader, follower, false);
		assertThat(this.hosts.host(follower).reads()).isTrue();
		this.hosts.advance(5_000);
		assertThat(this.hosts.host(follower).reads()).isFalse();
	}

	@Test
	void followerHasAllRecordsAfterCompaction() {
		this.hosts.start();
		this.hosts.advance(5_000);
		this.hosts.append("a");
		this.hosts.compact();
		long offset = this.hosts.append("b");
		this.hosts.advance(2_000);
		assertThat(allHave(offset)).isTrue();
	}

}
