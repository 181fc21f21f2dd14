package io.dotterelcrank.process.rollout;

import java.util.List;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Properties of {@link ExposureGate}: hosts that get requests unevenly and restart.
 */
class ExposureGateProperties {

	private static final RolloutSettings SETTINGS = new RolloutSettings(0.1, 50, 5_000);

	@Property(tries = 100, seed = "7")
	void allHostsTogetherKeepToTheBound(@ForAll @IntRange(min = 1, max = 400) int number,
			@ForAll @IntRange(min = 0, max = 8_000) int requests, @ForAll boolean restarts, @ForAll long seed) {
		UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		List<String> names = IntStream.range(0, number).mapToObj((i) -> "h" + i).toList();
		ExposureGate[] gates = new ExposureGate[number];
		IntStream.range(0, number).forEach((i) -> gates[i] = gate(names, i, true));
		int exposed = 0;
		for (int i = 0; i < requests; i++) {
			int host = (int) (number * Math.pow(random.nextDouble(), 2));
			if (restarts && random.nextInt(100) == 0) {
				gates[host] = gate(names, host, false);
			}
			boolean candidate = gates[host].allowsTrial();
			gates[host].recordSend(candidate);
			exposed += candidate ? 1 : 0;
		}
		assertThat(exposed).isLessThanOrEqualTo((int) (0.1 * requests + 50));
	}

	private static ExposureGate gate(List<String> names, int host, boolean first) {
		ExposureGate gate = new ExposureGate(SETTINGS, first);
		gate.updateCredit("key", names.get(host), names);
		return gate;
	}

}
