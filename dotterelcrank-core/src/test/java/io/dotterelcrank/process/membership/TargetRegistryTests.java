package io.dotterelcrank.process.membership;

import java.net.InetSocketAddress;
import java.util.Set;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link TargetRegistry}.
 */
class TargetRegistryTests {

	private final Clock.Manual clock = Clock.manual(1_000);

	private final TargetRegistry registry = TargetRegistry.of(this.clock, 2_000);

	private static TargetRegistration registration(String id, boolean leaving, long bornMillis, long sequence) {
		return new TargetRegistration(id, "desk", new InetSocketAddress("10.0.0.1", 80), "giza", 6, leaving, 0,
				bornMillis, sequence);
	}

	@Test
	void staleRegistrationDoesNotUndoLeaving() {
		this.registry.update(registration("a", true, 10, 7));
		this.registry.update(registration("a", false, 10, 6));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isFalse();
	}

	@Test
	void restartedTargetReplacesEarlierIncarnation() {
		this.registry.update(registration("a", true, 10, 7));
		this.registry.update(registration("a", false, 11, 1));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isTrue();
	}

	@Test
	void registrationOfEarlierIncarnationIsIgnored() {
		this.registry.update(registration("a", true, 11, 1));
		this.registry.update(registration("a", false, 10, 9));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isFalse();
	}

	/** All later registrations of the target were ignored for good. */
	@Test
	void sequenceNumberOfAnotherWriterDoesNotHideLaterRegistrations() {
		this.registry.update(registration("a", false, 10, 7));
		this.registry.update(registration("a", false, 10, 1_000_000_000));
		this.registry.update(registration("a", true, 10, 8));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isFalse();
	}

	@Test
	void slightlyHigherSequenceNumberOfAnotherWriterHidesLaterRegistrationsForSecondsOnly() {
		this.registry.update(registration("a", false, 10, 7));
		this.registry.update(registration("a", false, 10, 900));
		this.clock.advance(TargetRegistry.MAX_LATE_MILLIS + 1);
		this.registry.update(registration("a", true, 10, 8));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isFalse();
	}

	@Test
	void startTimeOfAnotherWriterHidesLaterRegistrationsForSecondsOnly() {
		this.registry.update(registration("a", false, 10, 7));
		this.registry.update(registration("a", false, 4_000_000_000_000L, 7));
		this.clock.advance(TargetRegistry.MAX_LATE_MILLIS + 1);
		this.registry.update(registration("a", true, 10, 8));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isFalse();
		assertThat(this.registry.targets(true).get(0).registration().bornMillis()).isEqualTo(10);
	}

	/** The store may execute the write before a removal after that of the removal. */
	@Test
	void registrationThatIsSecondsLateIsIgnored() {
		this.registry.update(registration("a", true, 10, 7));
		this.clock.advance(TargetRegistry.MAX_LATE_MILLIS - 1);
		this.registry.update(registration("a", false, 10, 6));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isFalse();
	}

	@Test
	void unlistedTargetIsLastResortUntilRemoved() {
		this.registry.update(registration("a", false, 10, 1));
		this.registry.markUnlisted("a");
		assertThat(this.registry.targets(true).get(0).listed()).isFalse();
		this.clock.advance(1_200 + 1);
		assertThat(this.registry.targets(true)).isEmpty();
	}

	@Test
	void unlistedTargetReturnsWithNextRegistration() {
		this.registry.update(registration("a", false, 10, 1));
		this.registry.markUnlisted("a");
		this.registry.update(registration("a", false, 10, 2));
		assertThat(this.registry.targets(true).get(0).listed()).isTrue();
	}

	@Test
	void targetInDataCentreOutOfServiceAcceptsNoNewWork() {
		this.registry.update(registration("a", false, 10, 1));
		this.registry.updateDataCentresOut(Set.of("giza"));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isFalse();
		this.registry.updateDataCentresOut(Set.of());
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isTrue();
	}

	@Test
	void sidecarReportIsUsedBrieflyAndOnlyWhileListIsStale() {
		this.registry.updateFromSidecar(registration("a", false, 10, 0));
		assertThat(this.registry.targets(true)).isEmpty();
		assertThat(this.registry.targets(false)).hasSize(1);
		this.clock.advance(TargetRegistry.SIDECAR_REPORT_RETENTION_MILLIS + 1);
		assertThat(this.registry.targets(false)).isEmpty();
	}

	@Test
	void sidecarReportDoesNotRestoreUnlistedTarget() {
		this.registry.update(registration("a", false, 10, 1));
		this.registry.markUnlisted("a");
		this.clock.advance(1_200 + 1);
		this.registry.targets(true);
		this.registry.updateFromSidecar(registration("a", false, 10, 0));
		assertThat(this.registry.targets(false)).isEmpty();
	}

	@Test
	void listedTargetReplacesSidecarReport() {
		this.registry.updateFromSidecar(registration("a", false, 10, 0));
		this.registry.update(registration("a", true, 10, 1));
		assertThat(this.registry.targets(false)).hasSize(1);
		assertThat(this.registry.targets(false).get(0).acceptsNewWork()).isFalse();
	}

	/** The store had come back from a copy in which the target was still listed. */
	@Test
	void targetThatIsGoneDoesNotComeBackByARegistrationFromBefore() {
		this.registry.update(registration("a", false, 10, 7));
		this.registry.markUnlisted("a");
		this.registry.update(registration("a", false, 10, 7));
		assertThat(this.registry.targets(true).get(0).listed()).isFalse();
		this.clock.advance(1_200 + 1);
		assertThat(this.registry.targets(true)).isEmpty();
		this.registry.update(registration("a", false, 10, 3));
		this.registry.update(registration("a", false, 10, 7));
		this.registry.update(registration("a", false, 9, 20));
		assertThat(this.registry.targets(true)).isEmpty();
		this.registry.update(registration("a", false, 10, 8));
		assertThat(this.registry.targets(true).get(0).listed()).isTrue();
	}

	@Test
	void targetThatStartedAgainUnderTheIdOfOneThatIsGoneIsUsed() {
		this.registry.update(registration("a", false, 10, 7));
		this.registry.markUnlisted("a");
		this.clock.advance(1_200 + 1);
		this.registry.targets(true);
		this.registry.update(registration("a", false, 11, 1));
		assertThat(this.registry.targets(true)).hasSize(1);
	}

	/** Without a start time it cannot be told from one that started again. */
	@Test
	void targetWithoutAStartTimeComesBack() {
		this.registry.update(registration("a", false, 0, 7));
		this.registry.markUnlisted("a");
		this.clock.advance(1_200 + 1);
		this.registry.targets(true);
		this.registry.update(registration("a", false, 0, 1));
		assertThat(this.registry.targets(true)).hasSize(1);
	}

	/** A list that came back from a copy 11 s old made a draining target ready. */
	@Test
	void registrationFromBeforeTheTargetWasDrainingIsIgnoredForLong() {
		this.registry.update(registration("a", false, 10, 6));
		this.registry.update(registration("a", true, 10, 7));
		this.clock.advance(11_000);
		this.registry.update(registration("a", false, 10, 6));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isFalse();
	}

	/**
	 * A target started while its clock was ahead, crashed and started again. Nothing it
	 * registered was heard for 30 s, its leaving included.
	 */
	@Test
	void incarnationThatSeemsEarlierIsHeardOnceItIsSeenToRun() {
		this.registry.update(registration("a", false, 2_400, 3));
		this.clock.advance(300);
		this.registry.update(registration("a", false, 1_800, 1));
		assertThat(this.registry.targets(true).get(0).registration().bornMillis()).isEqualTo(2_400);
		this.clock.advance(1_200);
		this.registry.update(registration("a", false, 1_800, 2));
		assertThat(this.registry.targets(true).get(0).registration().bornMillis()).isEqualTo(1_800);
		this.registry.update(registration("a", true, 1_800, 3));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isFalse();
	}

	@Test
	void lateWriteOfTheIncarnationThatSeemedLaterIsIgnored() {
		incarnationThatSeemsEarlierIsHeardOnceItIsSeenToRun();
		this.registry.update(registration("a", false, 2_400, 4));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isFalse();
		this.registry.update(registration("a", true, 1_800, 4));
		this.clock.advance(1_200);
		this.registry.update(registration("a", false, 2_400, 5));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isFalse();
	}

	@Test
	void nextIncarnationIsHeardAtOnceWheneverItStarted() {
		incarnationThatSeemsEarlierIsHeardOnceItIsSeenToRun();
		this.registry.update(registration("a", false, 2_100, 1));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isTrue();
	}

	@Test
	void lateWritesOfOneMomentAreNoEvidence() {
		this.registry.update(registration("a", true, 11, 1));
		this.registry.update(registration("a", false, 10, 8));
		this.registry.update(registration("a", false, 10, 9));
		this.clock.advance(IncarnationEvidence.MIN_INTERVAL_MILLIS - 1);
		this.registry.update(registration("a", false, 10, 10));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isFalse();
	}

	@Test
	void registrationOfTheKnownIncarnationEndsTheEvidenceOfAnEarlierOne() {
		this.registry.update(registration("a", true, 11, 1));
		this.registry.update(registration("a", false, 10, 8));
		this.clock.advance(1_200);
		this.registry.update(registration("a", true, 11, 2));
		this.registry.update(registration("a", false, 10, 9));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isFalse();
	}

	@Test
	void repeatedRegistrationIsNoEvidence() {
		this.registry.update(registration("a", true, 11, 1));
		this.registry.update(registration("a", false, 10, 8));
		this.clock.advance(1_200);
		this.registry.update(registration("a", false, 10, 8));
		assertThat(this.registry.targets(true).get(0).acceptsNewWork()).isFalse();
	}

	@Test
	void targetThatStartedAgainWithItsClockBackIsUsedAfterItWasGone() {
		this.registry.update(registration("a", false, 2_400, 7));
		this.registry.markUnlisted("a");
		this.clock.advance(1_200 + 1);
		this.registry.targets(true);
		this.registry.update(registration("a", false, 1_800, 1));
		assertThat(this.registry.targets(true)).isEmpty();
		this.clock.advance(1_200);
		this.registry.update(registration("a", false, 1_800, 2));
		assertThat(this.registry.targets(true)).hasSize(1);
	}

}
