package io.dotterelcrank.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.claim.ClaimKey;
import io.dotterelcrank.process.claim.ClaimLedger;
import io.dotterelcrank.process.claim.Claims;
import io.dotterelcrank.process.claim.LogBackedClaims;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.standin.platform.LogFault;
import io.dotterelcrank.standin.platform.StandinLog;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Properties of {@link LogBackedClaims}, when several processes claim the same few keys
 * while faults are injected into the log and processes are replaced.
 */
class LogBackedClaimsProperties {

	private static final long KEY_RETENTION_MILLIS = 3_600_000;

	private static final int PROCESSES = 3;

	@Property(tries = 2_000, seed = "91")
	void eachKeyRunsAtMostOnce(@ForAll @Size(max = 40) List<@IntRange(max = 999) Integer> randomSteps) {
		Simulation simulation = new Simulation();
		for (int randomStep : randomSteps) {
			simulation.step(randomStep);
			simulation.scheduler.advance(randomStep % 400);
		}
		simulation.log.injectFault(LogFault.NONE);
		simulation.scheduler.advance(60_000);
		assertThat(simulation.duplicateRuns).isEmpty();
		assertThat(simulation.pendingClaims).isEmpty();
	}

	/**
	 * Processes, the log and the calls executed.
	 */
	private static final class Simulation {

		private final Clock.Manual clock = Clock.manual(0);

		private final Scheduler.Manual scheduler = Scheduler.manual(this.clock);

		private final StandinLog log = StandinLog.withRetention(this.clock, 4 * KEY_RETENTION_MILLIS);

		private final List<LogBackedClaims> processes = new ArrayList<>();

		private final Map<String, String> attemptByKey = new HashMap<>();

		private final List<String> duplicateRuns = new ArrayList<>();

		private final Set<String> pendingClaims = new HashSet<>();

		private int nextNumber;

		Simulation() {
			for (int i = 0; i < PROCESSES; i++) {
				this.processes.add(startProcess(i));
			}
		}

		private LogBackedClaims startProcess(int index) {
			return LogBackedClaims.of("target-" + index, this.nextNumber++, this.log, this.clock, this.scheduler,
					this.scheduler, () -> KEY_RETENTION_MILLIS);
		}

		void step(int randomStep) {
			switch (randomStep % 10) {
				case 0 -> this.log.injectFault(LogFault.values()[randomStep / 10 % LogFault.values().length]);
				case 1 -> this.processes.set(randomStep / 10 % PROCESSES, startProcess(randomStep / 10 % PROCESSES));
				default -> claim(this.processes.get(randomStep / 10 % PROCESSES), "key-" + randomStep / 30 % 2,
						randomStep % 3 == 0);
			}
		}

		private void claim(LogBackedClaims process, String key, boolean reachesService) {
			ServiceCall call = new ServiceCall("attempt-" + this.nextNumber++, "w", "s", Priority.NORMAL, key, "POST",
					"/p", List.of(), "body".getBytes(StandardCharsets.UTF_8), 3_000);
			this.pendingClaims.add(call.id());
			process.claim(call, new Claims.Listener() {

				@Override
				public void won() {
					Simulation.this.pendingClaims.remove(call.id());
					run(process, call, reachesService);
				}

				@Override
				public void lost(ClaimLedger.Holder holder) {
					Simulation.this.pendingClaims.remove(call.id());
				}

				@Override
				public void unconfirmed() {
					Simulation.this.pendingClaims.remove(call.id());
				}

			});
		}

		/**
		 * Executes a call that reaches its service; releases the claim of any other.
		 */
		private void run(LogBackedClaims process, ServiceCall call, boolean reachesService) {
			ClaimKey key = ClaimKey.of(call.claimKey());
			if (!reachesService) {
				process.release(key, call.id());
				return;
			}
			String previousAttempt = this.attemptByKey.put(call.key(), call.id());
			if (previousAttempt != null) {
				this.duplicateRuns.add(previousAttempt + " and " + call.id());
			}
			process.recordCompleted(key, call.id());
		}

	}

}
