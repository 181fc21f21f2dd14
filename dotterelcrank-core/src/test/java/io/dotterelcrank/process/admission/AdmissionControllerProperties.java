package io.dotterelcrank.process.admission;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.Ran;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property-based tests of {@link AdmissionController}.
 */
class AdmissionControllerProperties {

	private static final int COLD_LIMIT = 3;

	private static final Limits LIMITS = new Limits(45, 5, 500, 4, 8, (workspace) -> 100);

	@Property(tries = 1_000, seed = "81")
	void everyRequestIsAdmittedOrRefusedOnceWithinColdLimit(
			@ForAll @Size(max = 60) List<@IntRange(max = 99) Integer> draws) {
		Clock.Manual clock = Clock.manual(0);
		AdmissionState state = AdmissionState.cold(COLD_LIMIT);
		AdmissionController controller = AdmissionController.of(AdmissionPolicy.forEngines(), state, () -> LIMITS,
				clock);
		Set<String> running = new HashSet<>();
		Set<String> refused = new HashSet<>();
		int number = 0;
		for (int draw : draws) {
			if (draw < 60) {
				PendingRequest request = new PendingRequest("r" + number++, "w" + draw % 3,
						Priority.values()[draw % Priority.values().length], 20, 100, clock.millis() + 10 * draw);
				recordOutcome(controller.submit(request), running, refused);
			}
			else if (draw < 80 && !running.isEmpty()) {
				String id = running.iterator().next();
				running.remove(id);
				recordOutcome(controller.finish(id, true), running, refused);
			}
			else {
				clock.advance(draw);
				recordOutcome(controller.admitWaiting(), running, refused);
			}
			assertThat(running.size()).isLessThanOrEqualTo(state.ramp().limit());
			assertThat(controller.queueLength()).isLessThanOrEqualTo((int) LIMITS.maxQueuedRequests());
		}
	}

	private static void recordOutcome(AdmissionController.Outcome outcome, Set<String> running,
			Set<String> refusedIds) {
		for (PendingRequest admitted : outcome.admitted()) {
			assertThat(refusedIds).doesNotContain(admitted.id());
			assertThat(running.add(admitted.id())).isTrue();
		}
		for (AdmissionController.Refusal refusal : outcome.refused()) {
			assertThat(running).doesNotContain(refusal.request().id());
			assertThat(refusedIds.add(refusal.request().id())).isTrue();
			assertThat(refusal.failure().ran()).isEqualTo(Ran.NO);
		}
	}

}
