package io.dotterelcrank.process.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.limit.RequestLimit;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.GenerationTraits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Tests of {@link ActiveRequests}: requests that have to wait again while they are
 * placed.
 */
class WaitingRequestTests {

	/** Time for which a permit holds. */
	private static final long PERMIT_MILLIS = 500;

	/** Reads of the clock after which it may go on within a task. */
	private static final int MAX_READS = 200;

	private final Clock.Manual manualClock = Clock.manual(100_000);

	private final Scheduler.Manual scheduler = Scheduler.manual(this.manualClock);

	private final RecordingTargetClient targetClient = new RecordingTargetClient();

	/** Reads of the clock until it goes on by a millisecond; negative if it does not. */
	private int readsUntilTick = -1;

	/** Reads of the clock for each millisecond by which it goes on; 0 if it does not. */
	private int readsPerTick;

	private int reads;

	private int requestCount;

	private long readClock() {
		if (this.readsPerTick > 0) {
			this.reads++;
			this.manualClock.advance((this.reads % this.readsPerTick == 0) ? 1 : 0);
		}
		if (this.readsUntilTick >= 0) {
			if (this.readsUntilTick == 0) {
				this.manualClock.advance(1);
			}
			this.readsUntilTick--;
		}
		return this.manualClock.millis();
	}

	private RelayService createService() {
		RelayService service = RelayService.of(this::readClock, this.scheduler,
				RelayClients.of(this.targetClient).withRatePermits((request) -> {
				}), new RelaySettings("giza", 0.2, 54, 10_000, 2_000, 8_000),
				RandomSource.XO_RO_SHI_RO_128_PP.create(5), new MetricRegistry());
		service.updatePlan(RelayFixture.plan(1));
		// One connection a host, and no share of a rate without a permit.
		service.updateEntryHosts(100);
		service.updateTargets(List.of(new Target(
				new TargetRegistration("p1", "desk", new InetSocketAddress("10.0.0.1", 80), "giza", 24, false, 0, 1, 1),
				0, true, false)));
		service.start();
		return service;
	}

	private void accept(RelayService service) {
		this.requestCount++;
		service.accept(new CallerRequest("attempt-" + this.requestCount, "POST", "a.example", "/deposit/1", List.of(),
				new byte[0], Optional.of("key"), Optional.empty(), OptionalLong.empty(), 6_000,
				this.manualClock.millis()), new RecordingCallerChannel());
	}

	/** The request was in no list any more and stayed there until its deadline. */
	@Test
	void waitingRequestIsNotForgottenIfAPermitExpiresWhileItIsPlaced() {
		int expired = 0;
		for (int readsBefore = 0; readsBefore < MAX_READS; readsBefore++) {
			WaitingRequestTests play = new WaitingRequestTests();
			expired += play.permitExpiresAfterReads(readsBefore) ? 1 : 0;
		}
		assertThat(expired).as("plays in which the permit expired too early").isPositive();
	}

	/**
	 * Lets the permit expire at a read of the clock during placement.
	 * @param readsBefore number of reads before
	 * @return whether the request was not placed with that permit
	 */
	private boolean permitExpiresAfterReads(int readsBefore) {
		RelayService service = createService();
		Message.RatePermit permit = new Message.RatePermit("p1", true, true, 0);
		accept(service);
		this.targetClient.exchange(0).withRequestLimit(RequestLimit.of(1)).respond(200, "ok");
		service.handleRatePermit(permit);
		accept(service);
		assertThat(this.targetClient.sendCount()).isEqualTo(2);
		service.handleRatePermit(permit);
		accept(service);
		this.scheduler.advance(PERMIT_MILLIS - 1);
		assertThat(this.targetClient.sendCount()).isEqualTo(2);
		this.targetClient.exchange(1).withRequestLimit(RequestLimit.of(1)).respond(200, "ok");
		this.readsUntilTick = readsBefore;
		this.scheduler.advance(0);
		this.readsUntilTick = -1;
		boolean placed = this.targetClient.sendCount() == 3;
		service.handleRatePermit(permit);
		this.scheduler.advance(RelayService.POLL_MILLIS);
		assertThat(this.targetClient.sendCount()).as("sends if the clock goes on after %s reads", readsBefore)
			.isEqualTo(3);
		return !placed;
	}

	/**
	 * The sort found them in no order, threw an exception, and nothing was placed.
	 */
	@Test
	void pollIsNotBrokenByRequestsThatBecomeLateWhileTheyAreSorted() {
		for (int waitedMillis = 0; waitedMillis < 1_000; waitedMillis += 50) {
			for (int readsForMilli = 2; readsForMilli < 10; readsForMilli *= 2) {
				new WaitingRequestTests().becomeLateDuringAPoll(waitedMillis, readsForMilli);
			}
		}
	}

	private void becomeLateDuringAPoll(int waitedMillis, int readsForMilli) {
		RelayService service = createService();
		Random random = new Random(waitedMillis);
		for (int i = 0; i < ActiveRequests.MAX_WAITING_REQUESTS; i++) {
			acceptGeneration(service, random.nextBoolean() ? "/summary/1" : "/notes/1");
			this.scheduler.advance(random.nextInt(10));
		}
		this.scheduler.advance(waitedMillis);
		this.readsPerTick = readsForMilli;
		assertThatCode(() -> this.scheduler.advance(RelayService.POLL_MILLIS))
			.as("poll %s ms after the last arrival, %s reads in a millisecond", waitedMillis, readsForMilli)
			.doesNotThrowAnyException();
	}

	private void acceptGeneration(RelayService service, String path) {
		this.requestCount++;
		service
			.accept(new CallerRequest("attempt-" + this.requestCount, "POST", "a.example", path, List.of(), new byte[0],
					Optional.of("key"), Optional.of(new GenerationTraits(500, 900, OptionalLong.empty(), List.of())),
					OptionalLong.empty(), 39_000, this.manualClock.millis()), new RecordingCallerChannel());
	}

	/** The first of them was refused, since it found itself among too many. */
	@Test
	void requestsThatWaitForThePlanAndThenForATargetAreNotRefusedAsTooMany() {
		RelayFixture fixture = RelayFixture.withoutPlan();
		List.of("p1", "p2").forEach(fixture::removeTarget);
		List<RecordingCallerChannel> callers = new ArrayList<>();
		for (int i = 0; i < ActiveRequests.MAX_WAITING_REQUESTS; i++) {
			callers.add(new RecordingCallerChannel());
			fixture.acceptCall("/deposit/" + i, 6_000, callers.get(i));
		}
		fixture.relayService().updatePlan(RelayFixture.plan(1));
		fixture.advance(2 * RelayService.POLL_MILLIS);
		assertThat(callers).allMatch((caller) -> caller.endCount() == 0);
	}

}
