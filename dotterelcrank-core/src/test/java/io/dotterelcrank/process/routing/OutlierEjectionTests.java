package io.dotterelcrank.process.routing;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link OutlierEjection}.
 */
class OutlierEjectionTests {

	private static final List<String> NAMES = List.of("a", "b", "c", "d", "e");

	private final Clock.Manual clock = Clock.manual(1_000_000);

	private final OutlierEjection ejection = OutlierEjection.of(this.clock);

	private void recordFailures(String target, int times) {
		for (int i = 0; i < times; i++) {
			this.ejection.recordFailure(target);
		}
	}

	@Test
	void ejectsAfterConsecutiveFailures() {
		recordFailures("a", OutlierEjection.CONSECUTIVE_FAILURES - 1);
		this.ejection.recordSuccess("a", 10);
		recordFailures("a", OutlierEjection.CONSECUTIVE_FAILURES - 1);
		assertThat(this.ejection.ejected(NAMES, 100)).isEmpty();
		recordFailures("a", 1);
		assertThat(this.ejection.ejected(NAMES, 100)).containsExactly("a");
	}

	@Test
	void ejectionTimeDoubles() {
		recordFailures("a", OutlierEjection.CONSECUTIVE_FAILURES);
		this.clock.advance(OutlierEjection.MIN_EJECTION_MILLIS);
		assertThat(this.ejection.ejected(NAMES, 100)).isEmpty();
		recordFailures("a", OutlierEjection.CONSECUTIVE_FAILURES);
		this.clock.advance(OutlierEjection.MIN_EJECTION_MILLIS);
		assertThat(this.ejection.ejected(NAMES, 100)).containsExactly("a");
	}

	@Test
	void ejectsTargetMuchSlowerThanItsPeers() {
		for (int i = 0; i < 20; i++) {
			NAMES.forEach((name) -> this.ejection.recordSuccess(name, name.equals("c") ? 2_000 : 100));
		}
		assertThat(this.ejection.ejected(NAMES, 100)).containsExactly("c");
	}

	@Property(tries = 300, seed = "71")
	void neverEjectsMoreThanMaxPercent(@ForAll @Size(max = 60) List<@IntRange(max = 4) Integer> failures,
			@ForAll @IntRange(max = 100) int maxPercent) {
		OutlierEjection freshEjection = OutlierEjection.of(Clock.manual(1_000_000));
		failures.forEach((index) -> freshEjection.recordFailure(NAMES.get(index)));
		assertThat(freshEjection.ejected(NAMES, maxPercent).size())
			.isLessThanOrEqualTo(NAMES.size() * maxPercent / 100);
	}

}
