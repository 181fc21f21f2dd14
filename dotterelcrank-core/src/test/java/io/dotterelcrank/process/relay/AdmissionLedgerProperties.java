package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Model check of {@link AdmissionLedger}: hosts act on stale load reports, and admitted
 * requests arrive late or never. The tokens waiting for prefill at an engine stay
 * bounded, and requests that never arrive expire.
 */
class AdmissionLedgerProperties {

	private static final long MEMORY_TOKENS = 200_000;

	private static final long PROMPT_TOKENS = 3_000;

	private static final long STEP_MILLIS = 60;

	private static final long PREFILL_TOKENS_PER_STEP = 14 * STEP_MILLIS / 2;

	private static final int CONCURRENT_PREFILLS = 2;

	private static final int MAX_STEPS_IN_TRANSIT = 8;

	private static final int NEVER_ARRIVES = 1_000_000;

	@Property(tries = 10_000, seed = "23")
	void pendingPrefillTokensStayBounded(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		Random random = new Random(seed);
		Clock.Manual clock = Clock.manual(1_000);
		AdmissionLedger ledger = AdmissionLedger.of(clock);
		List<AdmittedRequest> admitted = new ArrayList<>();
		report(ledger, admitted);
		for (int step = 0; step < 60; step++) {
			int requestCount = random.nextInt(6);
			for (int i = 0; i < requestCount; i++) {
				requestAdmission(ledger, admitted, random, step * 10 + i);
			}
			long pendingTokens = admitted.stream()
				.filter(AdmittedRequest::prefillPending)
				.mapToLong((request) -> PROMPT_TOKENS - request.prefilledTokens)
				.sum();
			assertThat(pendingTokens).isLessThanOrEqualTo(8_000 + PROMPT_TOKENS);
			clock.advance(STEP_MILLIS);
			prefill(admitted);
			if (random.nextInt(5) > 0) {
				report(ledger, admitted);
			}
		}
		for (int step = 0; step < 60; step++) {
			clock.advance(STEP_MILLIS);
			prefill(admitted);
			report(ledger, admitted);
		}
		assertThat(ledger.load().unreadTokens()).isZero();
	}

	private static void requestAdmission(AdmissionLedger ledger, List<AdmittedRequest> admitted, Random random,
			int requestNumber) {
		long knownTokens = random.nextInt(4) * PROMPT_TOKENS;
		String id = "r" + requestNumber;
		if (ledger.tryAdmit(new Message.AdmissionRequest(requestNumber, id, PROMPT_TOKENS, PROMPT_TOKENS + 500,
				knownTokens, 8_000, 0))) {
			boolean lost = random.nextInt(8) == 0;
			admitted.add(new AdmittedRequest(id, lost ? NEVER_ARRIVES : random.nextInt(MAX_STEPS_IN_TRANSIT)));
		}
	}

	private static void prefill(List<AdmittedRequest> admitted) {
		admitted.stream()
			.filter((request) -> request.stepsInTransit < NEVER_ARRIVES && request.stepsInTransit > 0)
			.forEach((request) -> request.stepsInTransit--);
		arrived(admitted).limit(CONCURRENT_PREFILLS)
			.forEach((request) -> request.prefilledTokens += PREFILL_TOKENS_PER_STEP);
	}

	private static Stream<AdmittedRequest> arrived(List<AdmittedRequest> admitted) {
		return admitted.stream().filter((request) -> request.prefillPending() && request.stepsInTransit == 0);
	}

	private static void report(AdmissionLedger ledger, List<AdmittedRequest> admitted) {
		List<EngineReport.ActiveRequest> activeRequests = new ArrayList<>();
		arrived(admitted).limit(CONCURRENT_PREFILLS)
			.forEach((request) -> activeRequests
				.add(new EngineReport.ActiveRequest(request.id, request.prefilledTokens, 0)));
		admitted.stream()
			.filter((request) -> request.prefilledTokens >= PROMPT_TOKENS)
			.forEach((request) -> activeRequests.add(new EngineReport.ActiveRequest(request.id, PROMPT_TOKENS, 1)));
		int waiting = (int) Math.max(0, arrived(admitted).count() - CONCURRENT_PREFILLS);
		ledger.updateLoad(new EngineLoad("e", "s", "dc", "10.0.0.1:80", 1, activeRequests.size(), waiting, 0, 0,
				MEMORY_TOKENS, false, -1, 0), activeRequests);
	}

	/**
	 * An admitted request, in transit to the engine or at the engine.
	 */
	private static final class AdmittedRequest {

		private final String id;

		private int stepsInTransit;

		private long prefilledTokens;

		AdmittedRequest(String id, int stepsInTransit) {
			this.id = id;
			this.stepsInTransit = stepsInTransit;
		}

		private boolean prefillPending() {
			return this.stepsInTransit < NEVER_ARRIVES && this.prefilledTokens < PROMPT_TOKENS;
		}

	}

}
