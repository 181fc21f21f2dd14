package io.dotterelcrank.process.relay;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.version.plan.Workspace;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Tests for {@link RouteResolver}.
 */
class RouteResolverTests {

	private static CallerRequest request(String uri, String key) {
		return new CallerRequest("id", "POST", "a.example", uri, List.of(), new byte[0], Optional.ofNullable(key),
				Optional.empty(), 1_000, 0);
	}

	private static Failure failure(String uri, String key, boolean planFresh) {
		return catchThrowableOfType(RequestException.class,
				() -> RouteResolver.resolve(request(uri, key), RelayFixture.plan(1), planFresh))
			.failure();
	}

	@Test
	void findsRouteServiceAndWorkspace() throws RequestException {
		RouteResolver.Resolution resolution = RouteResolver.resolve(request("/order/1", "key"), RelayFixture.plan(1),
				true);
		assertThat(resolution.route().name()).isEqualTo("/order/");
		assertThat(resolution.service().name()).isEqualTo("desk");
		assertThat(resolution.workspace().map(Workspace::name)).contains("shop");
	}

	@Test
	void unknownRouteAndKeyAreFinalUnderFreshPlan() {
		assertThat(failure("/none/", "key", true).code()).isEqualTo(ResultCode.UNKNOWN_ROUTE);
		assertThat(failure("/order/1", "other", true).code()).isEqualTo(ResultCode.UNKNOWN_KEY);
		assertThat(failure("/order/1", null, true).code()).isEqualTo(ResultCode.UNKNOWN_KEY);
	}

	@Test
	void unknownRouteAndKeyMayBeRetriedUnderStalePlan() {
		assertThat(failure("/none/", "key", false).code()).isEqualTo(ResultCode.NOT_READY);
		assertThat(failure("/order/1", "other", false).code()).isEqualTo(ResultCode.NOT_READY);
		assertThat(failure("/order/1", "other", false).ran()).isEqualTo(Ran.NO);
	}

}
