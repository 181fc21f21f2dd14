package io.dotterelcrank.process.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.version.plan.CallerLimits;
import io.dotterelcrank.version.plan.RequestKind;
import io.dotterelcrank.version.plan.Route;
import io.dotterelcrank.version.plan.ServiceSpec;
import io.dotterelcrank.version.plan.ServingPlan;
import io.dotterelcrank.version.plan.Workspace;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Tests for {@link RouteResolver}.
 */
class RouteResolverTests {

	private static CallerRequest request(String uri, String key) {
		return new CallerRequest("id", "POST", "a.example", uri, List.of(), new byte[0], Optional.ofNullable(key),
				Optional.empty(), OptionalLong.empty(), 1_000, 0);
	}

	private static Failure failure(String uri, String key, long planAgeMillis) {
		return catchThrowableOfType(RequestException.class, () -> RouteResolver.resolve(request(uri, key),
				RelayFixture.plan(1), planAgeMillis, RelayFixture.CONFIG_MILLIS))
			.failure();
	}

	@Test
	void findsRouteServiceAndWorkspace() throws RequestException {
		RouteResolver.Resolution resolution = RouteResolver.resolve(request("/order/1", "key"), RelayFixture.plan(1), 0,
				RelayFixture.CONFIG_MILLIS);
		assertThat(resolution.route().name()).isEqualTo("/order/");
		assertThat(resolution.service().name()).isEqualTo("desk");
		assertThat(resolution.workspace().map(Workspace::name)).contains("shop");
	}

	@Test
	void unknownRouteAndKeyAreFinalUnderFreshPlan() {
		assertThat(failure("/none/", "key", RelayFixture.CONFIG_MILLIS).code()).isEqualTo(ResultCode.UNKNOWN_ROUTE);
		assertThat(failure("/order/1", "other", RelayFixture.CONFIG_MILLIS).code()).isEqualTo(ResultCode.UNKNOWN_KEY);
		assertThat(failure("/order/1", null, RelayFixture.CONFIG_MILLIS).code()).isEqualTo(ResultCode.UNKNOWN_KEY);
	}

	@Test
	void unknownRouteAndKeyMayBeRetriedUnderStalePlan() {
		assertThat(failure("/none/", "key", RelayFixture.CONFIG_MILLIS + 1).code()).isEqualTo(ResultCode.NOT_READY);
		assertThat(failure("/order/1", "other", RelayFixture.CONFIG_MILLIS + 1).code()).isEqualTo(ResultCode.NOT_READY);
		assertThat(failure("/order/1", "other", RelayFixture.CONFIG_MILLIS + 1).ran()).isEqualTo(Ran.NO);
	}

	@Test
	void workspaceWhoseNameNoHeaderCarriesIsRefusedAsNotRun() {
		ServingPlan plan = ServingPlan.of(1,
				List.of(new Route("r", "a.example", "/order/", RequestKind.NON_IDEMPOTENT, 800, 300, 0,
						List.of(new Route.WeightedService("desk", 1)), 1, false, 0, false)),
				List.of(new ServiceSpec("desk", 100, 0, Optional.empty())),
				List.of(new Workspace("trail ", List.of("key"), OptionalInt.empty())), CallerLimits.INITIAL);
		Failure refusal = catchThrowableOfType(RequestException.class,
				() -> RouteResolver.resolve(request("/order/1", "key"), plan, 0, RelayFixture.CONFIG_MILLIS))
			.failure();
		assertThat(refusal.code()).isEqualTo(ResultCode.WORKSPACE_NOT_SERVED);
		assertThat(refusal.ran()).isEqualTo(Ran.NO);
	}

}
