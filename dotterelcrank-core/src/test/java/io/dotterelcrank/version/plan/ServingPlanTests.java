package io.dotterelcrank.version.plan;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalInt;
import java.util.stream.Stream;

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
		assertThat(route.selectService(0.89)).contains("desk");
		assertThat(route.selectService(0.91)).contains("desk-new");
		assertThat(route.selectService(0.9999999)).contains("desk-new");
	}

	@Test
	void findsWorkspaceByEachOfItsKeys() {
		assertThat(this.plan.workspace("k2").map(Workspace::name)).contains("shop");
		assertThat(this.plan.workspace("k3")).isEmpty();
	}

	private static String wire(String text) {
		return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
	}

	private static ServingPlan planWithKeys(String first, String second) {
		return ServingPlan.of(3, List.of(), List.of(),
				List.of(new Workspace("first", List.of(first), OptionalInt.empty()),
						new Workspace("second", List.of(second), OptionalInt.empty())),
				CallerLimits.INITIAL);
	}

	@Test
	void keyIsFoundInEachEncodingThatCallersUse() {
		ServingPlan mixed = planWithKeys("\u00fcber", "\u015fifre");
		assertThat(mixed.workspace(wire("\u00fcber")).map(Workspace::name)).contains("first");
		assertThat(mixed.workspace("\u00fcber").map(Workspace::name)).contains("first");
		assertThat(mixed.workspace(wire("\u015fifre")).map(Workspace::name)).contains("second");
		assertThat(mixed.workspace("?ifre")).isEmpty();
	}

	@Test
	void bytesThatTwoKeysShareAreThoseOfNeither() {
		ServingPlan ambiguous = planWithKeys("\u00fc", "\u00c3\u00bc");
		assertThat(ambiguous.workspace("\u00c3\u00bc")).isEmpty();
		assertThat(ambiguous.workspace("\u00fc").map(Workspace::name)).contains("first");
		assertThat(ambiguous.workspace(wire("\u00c3\u00bc")).map(Workspace::name)).contains("second");
	}

	@Test
	void emptyKeyAndKeyWithHalfOfAPairAreNobodys() {
		ServingPlan odd = planWithKeys("", "\ud83c");
		assertThat(odd.requiresApiKeys()).isTrue();
		assertThat(odd.workspace("")).isEmpty();
		assertThat(odd.workspace("?")).isEmpty();
		assertThat(odd.workspace("\ud83c")).isEmpty();
	}

	@Test
	void hostAndPrefixOfAnyLettersAreFound() {
		ServingPlan letters = ServingPlan.of(3,
				List.of(route("letters", "\u015fi\u015fli.example", "/\u015f/"),
						route("escaped", "\u015fi\u015fli.example", "/%C3%BC/"), route("plain", "a.example", "/%41/")),
				List.of(), List.of(), CallerLimits.INITIAL);
		for (String path : List.of(wire("/\u015f/x"), "/%C5%9F/x", "/%c5%9f/x")) {
			assertThat(letters.route(wire("\u015fi\u015fli.EXAMPLE:80"), path).map(Route::name)).contains("letters");
		}
		for (String path : List.of(wire("/\u00fc/x"), "/%C3%BC/x", "/%c3%bc/x?q=%")) {
			assertThat(letters.route(wire("\u015fi\u015fli.example"), path).map(Route::name)).contains("escaped");
		}
		assertThat(letters.route("a.example", "/%41/").map(Route::name)).contains("plain");
		for (String path : List.of("/A/", "/%4", "/%", "/%zz/", "/%C5%9F/")) {
			assertThat(letters.route("a.example", path)).isEmpty();
		}
	}

	@Test
	void workspacesWhoseNamesNoHeaderCarriesAreNamed() {
		ServingPlan names = ServingPlan.of(3, List.of(), List.of(), Stream
			.of("shop", "\u015fi\u015fli", "a b", "", "trail ", " lead", "a\tb", "a\nb", "\u0000", "\ud83c", "a\u007f")
			.map((name) -> new Workspace(name, List.of(name), OptionalInt.empty()))
			.toList(), CallerLimits.INITIAL);
		assertThat(names.unservedWorkspaces()).containsExactly("trail ", " lead", "a\tb", "a\nb", "\u0000", "\ud83c",
				"a\u007f");
	}

	@Test
	void serviceWithoutWeightIsNeverSelected() {
		Route route = new Route(
				"r", "a", "/", RequestKind.IDEMPOTENT, 1, 1, 0, List.of(new Route.WeightedService("off", 0),
						new Route.WeightedService("on", 0.1), new Route.WeightedService("last", 0)),
				1, false, 0, false);
		for (double fraction : new double[] { 0, 0.5, Math.nextDown(1.0) }) {
			assertThat(route.selectService(fraction)).contains("on");
		}
	}

	@Test
	void routeWithoutServicesSelectsNone() {
		Route route = new Route("r", "a", "/", RequestKind.IDEMPOTENT, 1, 1, 0, List.of(), 1, false, 0, false);
		assertThat(route.selectService(0)).isEmpty();
	}

	@Test
	void planWithoutWorkspacesDiffersFromOneThatNamesNone() {
		assertThat(ServingPlan.of(3, List.of(), List.of(), List.of(), CallerLimits.INITIAL).requiresApiKeys()).isTrue();
		assertThat(ServingPlan.withoutWorkspaces(3, List.of(), List.of(), CallerLimits.INITIAL).requiresApiKeys())
			.isFalse();
	}

}
