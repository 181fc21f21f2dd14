package io.dotterelcrank.process.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.Ran;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Model check of {@link TargetPool#allowsSend}: engines, holders of KV backups and data
 * centres leave, restart and return at random moments. No path of a request sends
 * anything to a target that is gone, replaced, draining or out of service.
 */
class TargetPoolProperties {

	private static final String[] ENGINES = { "e1", "e2", "e3" };

	private static final int MAX_STEP_MILLIS = 120;

	private static final int STEPS = 60;

	@Property(tries = 10_000, seed = "41")
	void onlyTargetsThatAcceptNewWorkAreSentTo(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		new Run(seed).play();
	}

	private static final class Run {

		private final Random random;

		private final RelayFixture fixture;

		/** Last event id that each stream has sent, by exchange index. */
		private final Map<Integer, Integer> eventIds = new HashMap<>();

		private int completedCopies;

		private int answeredAdmissions;

		private int answeredReads;

		private long bornMillis = 1;

		/** Until when incarnations want no requests. */
		private final Map<String, Long> pausedUntil = new HashMap<>();

		/** Incarnations that said in a response that they are draining. */
		private final Set<String> saidLeaving = new HashSet<>();

		Run(int seed) {
			this.random = new Random(seed);
			this.fixture = this.random.nextBoolean() ? new RelayFixture() : RelayFixture.withoutSidecars();
			if (this.random.nextBoolean()) {
				this.fixture.admissionClient().link();
			}
			this.fixture.targetClient()
				.checkSends((request) -> assertThat(this.fixture.mayGetRequests(request.target())
						&& !this.saidLeaving.contains(incarnation(request.target()))
						&& this.fixture.now() >= this.pausedUntil.getOrDefault(incarnation(request.target()), 0L))
					.as("send to %s", request.target())
					.isTrue());
		}

		private static String incarnation(TargetRegistration target) {
			return target.id() + '/' + target.bornMillis();
		}

		void play() {
			for (int step = 0; step < STEPS; step++) {
				switch (this.random.nextInt(9)) {
					case 0 -> this.fixture.accept("/notes/" + step, new RecordingCallerChannel());
					case 1 -> this.fixture.accept((this.random.nextBoolean() ? "/lookup/" : "/order/") + step,
							new RecordingCallerChannel());
					case 2 -> changeTarget();
					case 3 -> completeCopy();
					case 4 -> answerAdmission();
					case 5 -> answerLoadRead();
					default -> advanceExchange();
				}
				this.fixture.advance(this.random.nextInt(MAX_STEP_MILLIS));
			}
		}

		private void changeTarget() {
			String id = ENGINES[this.random.nextInt(ENGINES.length)];
			switch (this.random.nextInt(4)) {
				case 0 -> this.fixture.removeTarget(id);
				case 1 -> this.fixture.listTarget(id, "bench", true, this.bornMillis, false);
				case 2 -> this.fixture.listTarget(id, "bench", false, this.bornMillis, this.random.nextBoolean());
				default -> this.fixture.listTarget(id, "bench", false, ++this.bornMillis, false);
			}
		}

		private void completeCopy() {
			if (this.completedCopies < this.fixture.targetClient().copyRequestCount()) {
				TargetClient.CopyOutcome outcome = (this.random.nextInt(3) > 0) ? TargetClient.CopyOutcome.COPIED
						: TargetClient.CopyOutcome.UNANSWERED;
				this.fixture.targetClient().completeCopy(this.completedCopies, outcome, "h" + this.completedCopies);
				this.completedCopies++;
			}
		}

		private void answerAdmission() {
			if (this.answeredAdmissions < this.fixture.admissionClient().requestCount()) {
				Message.AdmissionRequest request = this.fixture.admissionClient().request(this.answeredAdmissions);
				this.answeredAdmissions++;
				EngineLoad load = new EngineLoad("", "bench", "giza", "10.0.0.250:1", 1, 0, 0, 0, 0,
						RelayFixture.MEMORY_TOKENS, false, -1, 0);
				this.fixture.relayService()
					.handleAdmissionResponse(
							new Message.AdmissionResponse(request.requestNumber(), this.random.nextInt(3) > 0, load));
			}
		}

		private void answerLoadRead() {
			if (this.answeredReads < this.fixture.loadReader().readCount()) {
				this.fixture.loadReader()
					.respond(this.answeredReads, this.random.nextInt(9), this.random.nextInt(30_000));
				this.answeredReads++;
			}
		}

		private void advanceExchange() {
			int count = this.fixture.targetClient().sendCount();
			if (count == 0) {
				return;
			}
			int index = this.random.nextInt(count);
			RecordingTargetClient.RecordedExchange exchange = this.fixture.targetClient().exchange(index);
			if (exchange.ended()) {
				return;
			}
			if (!this.eventIds.containsKey(index)) {
				startOrEnd(index, exchange);
			}
			else if (this.random.nextInt(5) == 0) {
				exchange.fail(List.of(Ran.values()).get(this.random.nextInt(Ran.values().length)));
			}
			else {
				exchange.sendEvent(this.eventIds.merge(index, 1, Integer::sum));
			}
		}

		private void startOrEnd(int index, RecordingTargetClient.RecordedExchange exchange) {
			int choice = this.random.nextInt(6);
			if (choice != 1 && this.random.nextInt(10) == 0) {
				exchange.withLeaving();
				this.saidLeaving.add(incarnation(exchange.request().target()));
			}
			if (choice == 0) {
				long pauseMillis = this.random.nextInt(3) * 400;
				this.pausedUntil.merge(incarnation(exchange.request().target()), this.fixture.now() + pauseMillis,
						Math::max);
				exchange.withPause(pauseMillis).refuse(503);
			}
			else if (choice == 1) {
				exchange.fail(Ran.NO);
			}
			else if (exchange.request().request().uri().startsWith("/notes/")) {
				exchange.startStream();
				this.eventIds.put(index, (int) exchange.request().lastEventId().orElse(0));
			}
			else {
				exchange.respond((choice == 2) ? 500 : 200, "");
			}
		}

	}

}
