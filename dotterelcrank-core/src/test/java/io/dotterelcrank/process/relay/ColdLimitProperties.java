package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import io.dotterelcrank.common.Clock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Model check of {@link ColdLimit}: hosts that freeze and wake together send a cold
 * target no more in a second than it bears.
 */
class ColdLimitProperties {

	private static final double OVERAGE = 1.5;

	private static final double SLACK = 5;

	@Property(tries = 10_000, seed = "13")
	void allHostsTogetherKeepTheRate(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		Random random = new Random(seed);
		int hosts = 1 + random.nextInt(4);
		double perSecond = 4 + random.nextInt(60);
		List<Clock.Manual> clocks = new ArrayList<>();
		List<ColdLimit> limits = new ArrayList<>();
		for (int i = 0; i < hosts; i++) {
			clocks.add(Clock.manual(0));
			limits.add(new ColdLimit(clocks.get(i)));
		}
		List<Long> sends = new ArrayList<>();
		for (long nowMillis = 0; nowMillis < 4_000; nowMillis += 20) {
			for (int host = 0; host < hosts; host++) {
				boolean frozen = random.nextInt(50) == 0;
				clocks.get(host).advance(frozen ? 0 : 20);
				while (!frozen && limits.get(host).allows(perSecond, hosts)) {
					limits.get(host).sent();
					sends.add(nowMillis);
				}
			}
		}
		for (long startMillis : sends) {
			long inSecond = sends.stream().filter((sent) -> sent >= startMillis && sent < startMillis + 1_000).count();
			assertThat((double) inSecond).isLessThanOrEqualTo(perSecond * OVERAGE + SLACK);
		}
	}

}
