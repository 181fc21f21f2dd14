package io.dotterelcrank.version.plan;

import java.util.List;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServingPlan}.
 */
class ServingPlanTests {

	private static Route route(String name, String host, String prefix) {
		return new Route(name, host, prefix, RequestKind.IDEMPOTENT, 800, 300, 2,
				List.of(new Route.WeightedService("desk", 90), new Route.WeightedService("desk-new", 10)), 2, false,
				180, false);
	}

	private final ServingPlan plan = ServingPlan.of(3,
			List.of(route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/")),
			List.of(new ServiceSpec("desk", 100, 0, java.util.Optional.empty())),
			List.of(new Workspace("shop", List.of("k1", "k2"), OptionalInt.empty())), CallerLimits.INITIAL);

	@Test
	void longestPrefixWins() {
		assertThat(this.plan.route("a.example", "/x/y/z").map(Route::name)).contains("long");
		assertThat(this.plan.route("a.example", "/x/z?q=/x/y/").map(Route::name)).contains("short");
	}

	@Test
	void hostIsComparedWithoutPortAndCase() {
		assertThat(this.plan.route("A.Example:8740", "/x/")).isPresent();
		assertThat(this.plan.route("b.example", "/x/")).isEmpty();
	}

	@Test
	void prefixMustBeginThePath() {
		assertThat(this.plan.route("a.example", "/w/x/")).isEmpty();
		assertThat(this.plan.route("a.example", "/x")).isEmpty();
	}

	@Test
	void selectsServicesInProportionToTheirWeights() {
		Route route = route("r", "a.example", "/x/");
		assertThat(route.selectService(0.89)).isEqualTo("desk");
		assertThat(route.selectService(0.91)).isEqualTo("desk-new");
		assertThat(route.selectService(0.9999999)).isEqualTo("desk-new");
	}

	@Test
	void findsWorkspaceByEachOfItsKeys() {
		assertThat(this.plan.workspace("k2").map(Workspace::name)).contains("shop");
		assertThat(this.plan.workspace("k3")).isEmpty();
	}

}
