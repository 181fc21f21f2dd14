package io.dotterelcrank.process.replica;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link TableSharing}.
 */
class TableSharingTests {

	private static final long BOUND_MILLIS = 2_000;

	/** Bound of a deployment with tens of hosts. */
	private static final long SLOW_BOUND_MILLIS = 3_000;

	/** A link of 7 Mbit/s. */
	private static final long THIN_LINK_BYTES_PER_MILLIS = 875;

	/** Time by which an answer that a host has read may be late. */
	private static final long MAX_ANSWER_DELAY_MILLIS = 200;

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

	/** The followers got nothing for a second, and then all records again. */
	@Test
	void linksAreNotReplacedWhileAcknowledgementsThatHaveArrivedAreUnread() {
		this.hosts.start();
		this.hosts.advance(5_000);
		SimulatedHosts.Host reader = this.hosts.host(readers()[0]);
		int closedLinks = reader.closedLinks();
		reader.setReadsLate(true);
		this.hosts.advance(3 * BOUND_MILLIS);
		reader.setReadsLate(false);
		assertThat(reader.closedLinks()).isEqualTo(closedLinks);
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
		this.hosts.store().compact();
		long offset = this.hosts.append("b");
		this.hosts.advance(2_000);
		assertThat(allHave(offset)).isTrue();
	}

	private static SimulatedHosts threeHostsWithVersion(int version) {
		SimulatedHosts three = SimulatedHosts.longPolling(3, 3, BOUND_MILLIS);
		three.start();
		three.append("evacuate/giza");
		for (int value = 1; value <= version; value++) {
			three.append(SimulatedView.VERSION_KEY, value);
		}
		three.advance(5_000);
		return three;
	}

	/**
	 * Each version after the return was ignored, as its offset was below the known one.
	 */
	@Test
	void versionIsInForceInTimeThoughTheStoreCameBackFromAnOlderCopy() {
		SimulatedHosts three = threeHostsWithVersion(20);
		three.setStoreDown(true);
		three.advance(1_000);
		three.rewind(15);
		three.setStoreDown(false);
		three.append(SimulatedView.VERSION_KEY, 21);
		three.advance(BOUND_MILLIS);
		for (int host = 0; host < 3; host++) {
			assertThat(three.host(host).view().version()).as("host %d", host).isEqualTo(21);
		}
	}

	@Test
	void evacuationThatTheCopyLacksStaysAndIsOnlyLiftedIfItIsNotWrittenAgain() {
		SimulatedHosts three = threeHostsWithVersion(3);
		three.rewind(4);
		three.advance(1_900);
		assertThat(IntStream.range(0, 3)).allMatch((host) -> three.host(host).view().holds("evacuate/giza"));
		three.append("evacuate/giza");
		three.append(SimulatedView.VERSION_KEY, 3);
		three.advance(3_000);
		assertThat(IntStream.range(0, 3)).allMatch((host) -> three.host(host).view().deletions("evacuate/giza") == 0);
		three.rewind(4);
		three.append(SimulatedView.VERSION_KEY, 3);
		three.advance(5_000);
		assertThat(IntStream.range(0, 3)).noneMatch((host) -> three.host(host).view().holds("evacuate/giza"));
	}

	/** It listed the table again after each read, without a pause. */
	@ParameterizedTest
	@EnumSource(Numbering.class)
	void storeThatCameBackIsNotListedInALoop(Numbering numbering) {
		SimulatedHosts three = SimulatedHosts.longPolling(3, 3, BOUND_MILLIS);
		if (numbering == Numbering.OFFSETS_ONLY) {
			three.store().hideEpoch();
		}
		three.start();
		IntStream.range(0, 20).forEach((value) -> three.append("config"));
		three.advance(5_000);
		three.rewind(15);
		long calls = three.storeCalls();
		three.advance(10_000);
		assertThat(three.storeCalls() - calls).isLessThanOrEqualTo((numbering == Numbering.EPOCHS) ? 40 : 220);
	}

	/**
	 * A reader that was paused goes on with what it had read before the store came back.
	 */
	@Test
	void readerOfAnEarlierEpochIsNotFollowedAndLearnsTheNewOne() {
		SimulatedHosts three = threeHostsWithVersion(20);
		int reader = IntStream.range(0, 3).filter((index) -> three.host(index).reads()).findFirst().orElseThrow();
		three.host(reader).setPaused(true);
		three.rewind(15);
		three.append(SimulatedView.VERSION_KEY, 21);
		three.advance(BOUND_MILLIS);
		three.host(reader).setStorePath(SimulatedHosts.StorePath.SILENT);
		three.host(reader).setPaused(false);
		three.append(SimulatedView.VERSION_KEY, 22);
		three.advance(BOUND_MILLIS);
		for (int host = 0; host < 3; host++) {
			assertThat(three.host(host).view().version()).as("host %d", host).isEqualTo(22);
		}
	}

	@Test
	void staleReadsOfTheSameEpochChangeNothing() {
		SimulatedHosts three = threeHostsWithVersion(20);
		three.store().setStaleRecords(15);
		three.append(SimulatedView.VERSION_KEY, 21);
		three.advance(5_000);
		for (int host = 0; host < 3; host++) {
			assertThat(three.host(host).view().deletions("evacuate/giza")).isZero();
			assertThat(three.host(host).nextOffset()).isEqualTo(21);
		}
		three.store().setStaleRecords(0);
		three.advance(BOUND_MILLIS);
		for (int host = 0; host < 3; host++) {
			assertThat(three.host(host).view().version()).as("host %d", host).isEqualTo(21);
		}
	}

	private static SimulatedHosts nineHostsOfOneDataCentre() {
		SimulatedHosts nine = SimulatedHosts.longPolling(9, 1, SLOW_BOUND_MILLIS);
		nine.start();
		nine.advance(5_000);
		return nine;
	}

	private static SimulatedHosts.Host reader(SimulatedHosts hosts) {
		return IntStream.range(0, hosts.size())
			.mapToObj(hosts::host)
			.filter(SimulatedHosts.Host::reads)
			.findFirst()
			.orElseThrow();
	}

	/** Pushes of large versions filled the reader's link for seconds. */
	@ParameterizedTest
	@CsvSource({ "50, 60000", "300, 60000", "300, 250000" })
	void versionsInQuickSuccessionAreInForceInTimeThoughTheReadersLinkIsThin(long gapMillis, int bytes) {
		SimulatedHosts nine = nineHostsOfOneDataCentre();
		reader(nine).setUplink(THIN_LINK_BYTES_PER_MILLIS);
		Map<Integer, Long> publishedMillis = new TreeMap<>();
		long nowMillis = 0;
		for (int version = 1; nowMillis < 8_000; version++) {
			publishedMillis.put(version, nowMillis);
			nine.append(SimulatedView.VERSION_KEY, version, bytes);
			nine.advance(gapMillis);
			nowMillis += gapMillis;
			long acknowledgedMillis = nowMillis - SLOW_BOUND_MILLIS;
			int due = publishedMillis.entrySet()
				.stream()
				.filter((entry) -> entry.getValue() <= acknowledgedMillis)
				.mapToInt(Map.Entry::getKey)
				.max()
				.orElse(0);
			assertThat(IntStream.range(0, nine.size())).as("at %d ms", nowMillis)
				.allMatch((host) -> nine.host(host).view().version() >= due);
		}
	}

	/** Responses to callers waited behind the pushes until their deadlines. */
	@ParameterizedTest
	@CsvSource({ "50, 60000", "300, 60000", "300, 150000" })
	void otherTrafficOfAReaderWithAThinLinkIsNotHeldUp(long gapMillis, int bytes) {
		SimulatedHosts nine = nineHostsOfOneDataCentre();
		SimulatedHosts.Host reader = reader(nine);
		reader.setUplink(THIN_LINK_BYTES_PER_MILLIS);
		for (int version = 1; version < 8_000 / gapMillis; version++) {
			nine.append(SimulatedView.VERSION_KEY, version, bytes);
			for (long millis = 0; millis < gapMillis; millis += 10) {
				nine.advance(10);
				assertThat(reader.uplinkQueueMillis()).as("version %d", version).isLessThan(MAX_ANSWER_DELAY_MILLIS);
			}
		}
	}

	/** What arrives late was taken for as current as it was when it was sent. */
	@Test
	void versionIsInForceInTimeThoughTheReadersPushesAreUnderWayLongerAndLonger() {
		SimulatedHosts nine = nineHostsOfOneDataCentre();
		SimulatedHosts.Host reader = reader(nine);
		for (int version = 1; version <= 40; version++) {
			reader.setDelayMillis(version * 100);
			nine.append(SimulatedView.VERSION_KEY, version);
			nine.advance(300);
			int due = version - (int) (SLOW_BOUND_MILLIS / 300);
			assertThat(IntStream.range(0, nine.size())).as("version %d", version)
				.allMatch((host) -> nine.host(host).view().version() >= due);
		}
	}

	/** Its pushes were not acknowledged, and the link was replaced for all tables. */
	@Test
	void tableThatOnlyTheReaderKnowsDoesNotCloseItsLinks() {
		SimulatedHosts nine = nineHostsOfOneDataCentre();
		SimulatedHosts.Host reader = reader(nine);
		int closed = reader.closedLinks();
		reader.addTable("rollouts");
		nine.advance(5_000);
		assertThat(reader.closedLinks()).isEqualTo(closed);
	}

	/** How a store numbers its records. */
	enum Numbering {

		/** By epoch and offset. */
		EPOCHS,

		/** By offset only. */
		OFFSETS_ONLY

	}

}
