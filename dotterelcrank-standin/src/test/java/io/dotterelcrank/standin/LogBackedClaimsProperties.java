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
 * Properties of {@link LogBackedClaims}: several processes claim a few keys while the log
 * fails in every way, and processes are replaced.
 */
class LogBackedClaimsProperties {

	private static final long MEMORY_MILLIS = 3_600_000;

	private static final int PROCESSES = 3;

	@Property(tries = 2_000, seed = "91")
	void aKeyIsHeldByOneRunAtMost(@ForAll @Size(max = 40) List<@IntRange(max = 999) Integer> draws) {
		World world = new World();
		for (int draw : draws) {
			world.step(draw);
			world.scheduler.advance(draw % 400);
		}
		world.log.injectFault(LogFault.NONE);
		world.scheduler.advance(60_000);
		assertThat(world.doubleRuns).isEmpty();
		assertThat(world.open).isEmpty();
	}

	/**
	 * Processes, log and what has run.
	 */
	private static final class World {

		private final Clock.Manual clock = Clock.manual(0);

		private final Scheduler.Manual scheduler = Scheduler.manual(this.clock);

		private final StandinLog log = StandinLog.withRetention(this.clock, 4 * MEMORY_MILLIS);

		private final List<LogBackedClaims> processes = new ArrayList<>();

		private final Map<String, String> ran = new HashMap<>();

		private final List<String> doubleRuns = new ArrayList<>();

		private final Set<String> open = new HashSet<>();

		private int numbers;

		World() {
			for (int i = 0; i < PROCESSES; i++) {
				this.processes.add(process(i));
			}
		}

		private LogBackedClaims process(int index) {
			return LogBackedClaims.of("target-" + index, this.numbers++, this.log, this.clock, this.scheduler,
					this.scheduler, () -> MEMORY_MILLIS);
		}

		void step(int draw) {
			switch (draw % 10) {
				case 0 -> this.log.injectFault(LogFault.values()[draw / 10 % LogFault.values().length]);
				case 1 -> this.processes.set(draw / 10 % PROCESSES, process(draw / 10 % PROCESSES));
				default -> claim(this.processes.get(draw / 10 % PROCESSES), "key-" + draw / 30 % 2, draw % 3 == 0);
			}
		}

		private void claim(LogBackedClaims process, String key, boolean reached) {
			ServiceCall call = new ServiceCall("attempt-" + this.numbers++, "w", "s", Priority.NORMAL, key, "POST",
					"/p", List.of(), "body".getBytes(StandardCharsets.UTF_8), 3_000);
			this.open.add(call.id());
			process.claim(call, new Claims.Listener() {

				@Override
				public void won() {
					World.this.open.remove(call.id());
					run(process, call, reached);
				}

				@Override
				public void lost(ClaimLedger.Holder holder) {
					World.this.open.remove(call.id());
				}

				@Override
				public void unconfirmed() {
					World.this.open.remove(call.id());
				}

			});
		}

		/**
		 * A call that reaches its service has run; one that does not releases its claim.
		 */
		private void run(LogBackedClaims process, ServiceCall call, boolean reached) {
			ClaimKey key = ClaimKey.of(call.claimKey());
			if (!reached) {
				process.release(key, call.id());
				return;
			}
			String before = this.ran.put(call.key(), call.id());
			if (before != null) {
				this.doubleRuns.add(before + " and " + call.id());
			}
			process.done(key, call.id());
		}

	}

}
