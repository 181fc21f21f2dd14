package io.dotterelcrank.process.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.connection.TargetLoad;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RoutingPolicy.BoundedAffinityPolicy}.
 */
class BoundedAffinityPolicyTests {

	private static final int SPILL_PERCENT = 80;

	private final RoutingPolicy policy = RoutingPolicy.named("affinity", RandomSource.XO_RO_SHI_RO_128_PP.create(5L));

	private static TargetView view(String name, boolean local, int usedPercent) {
		return new TargetView(name, local, 0, 0, new TargetLoad(TargetLoad.State.SERVING, usedPercent, 0, 20, 4));
	}

	private static List<TargetView> views(int localPercent, int remotePercent) {
		List<TargetView> views = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			views.add(view("local-" + i, true, localPercent));
			views.add(view("remote-" + i, false, remotePercent));
		}
		return views;
	}

	@Test
	void sameAffinityChoosesSameTarget() {
		Set<TargetView> chosen = new HashSet<>();
		for (int i = 0; i < 20; i++) {
			chosen.add(this.policy.choose("tuba", views(10, 10), SPILL_PERCENT).orElseThrow());
		}
		assertThat(chosen).hasSize(1).allMatch(TargetView::local);
	}

	@Test
	void differentAffinitiesSpreadOverLocalTargets() {
		Set<TargetView> chosen = new HashSet<>();
		for (int i = 0; i < 100; i++) {
			chosen.add(this.policy.choose("horn-" + i, views(10, 10), SPILL_PERCENT).orElseThrow());
		}
		assertThat(chosen).hasSize(4);
	}

	@Test
	void spillsOverOnlyWhenAllLocalTargetsAreLoaded() {
		List<TargetView> views = views(95, 10);
		assertThat(this.policy.choose("tuba", views, SPILL_PERCENT).orElseThrow().local()).isFalse();
		views.add(view("local-free", true, 20));
		assertThat(this.policy.choose("tuba", views, SPILL_PERCENT).orElseThrow().name()).isEqualTo("local-free");
	}

	@Test
	void requestsSentSinceLoadReportCount() {
		TargetView busy = new TargetView("local-busy", true, 40, 40,
				new TargetLoad(TargetLoad.State.SERVING, 10, 0, 20, 4));
		assertThat(busy.estimatedPercent()).isGreaterThan(SPILL_PERCENT);
		TargetView cold = new TargetView("local-cold", true, 1, 1,
				new TargetLoad(TargetLoad.State.WARMING, 0, 0, 0, 1));
		assertThat(cold.estimatedPercent()).isGreaterThanOrEqualTo(100);
	}

	@Test
	void choosesNoTargetFromEmptyList() {
		assertThat(this.policy.choose("tuba", List.of(), SPILL_PERCENT)).isEmpty();
	}

}
