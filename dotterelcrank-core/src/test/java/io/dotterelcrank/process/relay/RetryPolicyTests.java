package io.dotterelcrank.process.relay;

import java.util.List;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.version.plan.RequestKind;
import io.dotterelcrank.version.plan.Route;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RetryPolicy}.
 */
class RetryPolicyTests {

	private static Route route(RequestKind kind, int maxAttempts) {
		return new Route("r", "a.example", "/x/", kind, 5_000, 1_000, 1, List.of(new Route.WeightedService("s", 1)),
				maxAttempts, false, 0, false);
	}

	@Test
	void requestThatMayHaveRunIsResentOnlyIfIdempotent() {
		assertThat(RetryPolicy.allowsResend(route(RequestKind.IDEMPOTENT, 2), 1, true)).isTrue();
		assertThat(RetryPolicy.allowsResend(route(RequestKind.STREAMING, 2), 1, true)).isFalse();
		assertThat(RetryPolicy.allowsResend(route(RequestKind.NON_IDEMPOTENT, 2), 1, true)).isFalse();
	}

	@Test
	void requestThatDidNotRunIsResentUpToTheMaxNumberOfSends() {
		for (RequestKind kind : RequestKind.values()) {
			assertThat(RetryPolicy.allowsResend(route(kind, 1), RetryPolicy.MAX_SENDS - 1, false)).as(kind.name())
				.isTrue();
			assertThat(RetryPolicy.allowsResend(route(kind, 1), RetryPolicy.MAX_SENDS, false)).as(kind.name())
				.isFalse();
		}
	}

	@Test
	void idempotentRequestIsHedgedAfterHalfItsLatencyGoal() {
		Route route = route(RequestKind.IDEMPOTENT, 2);
		assertThat(RetryPolicy.hedgeDue(route, 500, 1)).isFalse();
		assertThat(RetryPolicy.hedgeDue(route, 501, 1)).isTrue();
		assertThat(RetryPolicy.hedgeDue(route, 501, 2)).isFalse();
		assertThat(RetryPolicy.hedgeDue(route(RequestKind.NON_IDEMPOTENT, 2), 501, 1)).isFalse();
	}

	@Test
	void deadlineOfRequestThatDidNotRunIsReportedAsOverload() {
		Failure failure = RetryPolicy.finalFailure(ResultCode.DEADLINE_EXCEEDED, false, "late");
		assertThat(failure.code()).isEqualTo(ResultCode.OVERLOADED);
		assertThat(failure.ran()).isEqualTo(Ran.NO);
	}

	@Test
	void failureOfRequestThatMayHaveRunNeverSaysThatItDidNot() {
		for (ResultCode code : ResultCode.values()) {
			Failure failure = RetryPolicy.finalFailure(code, true, "lost");
			assertThat(failure.ran()).isNotEqualTo(Ran.NO);
			assertThat(failure.code()).isEqualTo(
					(code == ResultCode.DEADLINE_EXCEEDED) ? ResultCode.DEADLINE_EXCEEDED : ResultCode.TARGET_LOST);
		}
	}

}
