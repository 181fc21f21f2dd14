package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays admission at one engine under more demand than it can serve, with the prompts,
 * outputs and memory of several deployments, and lengths known in advance. Its memory
 * never runs out, and most of it is used.
 */
class EngineMemoryTests {

	private static final long STEP_MILLIS = 100;

	private static final int STEPS = 3_000;

	private static final int TOKENS_PER_STEP = 12;

	private static final int PREFILL_PER_STEP = 700;

	@ParameterizedTest
	@CsvSource({ "34289, 3000, 940", "34343, 3000, 940", "34266, 3000, 928", "26980, 3000, 752", "36379, 3000, 1392",
			"120000, 8000, 6000", "9000, 400, 1600" })
	void admittedGenerationsFitUntilTheirEnd(long memoryTokens, int promptTokens, int meanOutputTokens) {
		Random random = new Random(7);
		Clock.Manual clock = Clock.manual(10_000);
		AdmissionLedger ledger = AdmissionLedger.of(clock);
		List<Generation> running = new ArrayList<>();
		long usedSum = 0;
		for (int step = 0; step < STEPS; step++) {
			ledger.updateLoad(load(running, memoryTokens), reports(running));
			int output = (int) Math.round(meanOutputTokens * Math.exp(0.7 * random.nextGaussian() - 0.245));
			Generation next = new Generation("g" + step, promptTokens,
					(int) Math.min(memoryTokens / 2, promptTokens + output));
			if (ledger.tryAdmit(new Message.AdmissionRequest(step, next.id, promptTokens, next.total, memoryTokens,
					memoryTokens, 0))) {
				running.add(next);
			}
			advance(running);
			clock.advance(STEP_MILLIS);
			long used = running.stream().mapToLong((generation) -> generation.tokens).sum();
			assertThat(used).as("step %d", step).isLessThanOrEqualTo(memoryTokens);
			usedSum += used;
		}
		assertThat(usedSum / STEPS).isGreaterThan(memoryTokens / 2);
	}

	private static void advance(List<Generation> running) {
		int prefill = PREFILL_PER_STEP;
		for (Iterator<Generation> generations = running.iterator(); generations.hasNext();) {
			Generation generation = generations.next();
			if (generation.tokens < generation.prompt) {
				int read = Math.min(prefill, generation.prompt - generation.tokens);
				generation.tokens += read;
				prefill -= read;
			}
			else if (generation.tokens >= generation.total) {
				generations.remove();
			}
			else {
				generation.tokens = Math.min(generation.total, generation.tokens + TOKENS_PER_STEP);
			}
		}
	}

	private static EngineLoad load(List<Generation> running, long memoryTokens) {
		long used = running.stream().mapToLong((generation) -> generation.tokens).sum();
		return new EngineLoad("e", "s", "dc", "10.0.0.1:80", 1, running.size(), 0, 0, used, memoryTokens, false, -1,
				-1);
	}

	private static List<EngineReport.ActiveRequest> reports(List<Generation> running) {
		return running.stream()
			.map((generation) -> new EngineReport.ActiveRequest(generation.id, generation.tokens,
					Math.max(0, generation.tokens - generation.prompt)))
			.toList();
	}

	private static final class Generation {

		private final String id;

		private final int prompt;

		private final int total;

		private int tokens;

		Generation(String id, int prompt, int total) {
			this.id = id;
			this.prompt = prompt;
			this.total = total;
		}

	}

}
