package io.dotterelcrank.process.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import io.dotterelcrank.common.Clock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Model check of {@link TargetRateLimiter}: several hosts, whose clocks freeze at random,
 * together keep within the rate of a cold target in every second.
 */
class TargetRateLimiterProperties {

	/** Allows for the burst of half a second's requests. */
	private static final double RATE_TOLERANCE = 1.5;

	/** Allows for the burst of at least one request per host. */
	private static final double EXTRA_REQUESTS = 5;

	@Property(tries = 10_000, seed = "13")
	void hostsTogetherStayWithinTheRate(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		Random random = new Random(seed);
		int hosts = 1 + random.nextInt(4);
		double requestsPerSecond = 4 + random.nextInt(60);
		List<Clock.Manual> clocks = new ArrayList<>();
		List<TargetRateLimiter> limiters = new ArrayList<>();
		for (int i = 0; i < hosts; i++) {
			clocks.add(Clock.manual(0));
			limiters.add(TargetRateLimiter.of(clocks.get(i)));
		}
		List<Long> sends = new ArrayList<>();
		for (long nowMillis = 0; nowMillis < 4_000; nowMillis += 20) {
			for (int host = 0; host < hosts; host++) {
				boolean frozen = random.nextInt(50) == 0;
				clocks.get(host).advance(frozen ? 0 : 20);
				while (!frozen && limiters.get(host).allows(requestsPerSecond, hosts)) {
					limiters.get(host).recordSend();
					sends.add(nowMillis);
				}
			}
		}
		checkSeconds(sends, requestsPerSecond);
	}

	/** Each process of hosts that were killed again and again had a permit of its own. */
	@Property(tries = 5_000, seed = "14")
	void hostsThatStartAgainStayWithinTheRate(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		Random random = new Random(seed);
		int hosts = 1 + random.nextInt(8);
		double requestsPerSecond = hosts + random.nextInt(20);
		Clock.Manual clock = Clock.manual(0);
		List<TargetRateLimiter> limiters = new ArrayList<>();
		List<Long> sends = new ArrayList<>();
		long downUntilMillis = 0;
		for (long nowMillis = 0; nowMillis < 4_000; nowMillis += 20) {
			clock.advance(20);
			if (random.nextInt(15) == 0) {
				downUntilMillis = nowMillis + 40 + random.nextInt(200);
				limiters.clear();
			}
			while (nowMillis >= downUntilMillis && limiters.size() < hosts) {
				limiters.add(new TargetRateLimiter.Factory.ForSuccessor(clock, clock.millis()).create());
			}
			for (TargetRateLimiter limiter : limiters) {
				while (limiter.allows(requestsPerSecond, hosts)) {
					limiter.recordSend();
					sends.add(nowMillis);
				}
			}
		}
		checkSeconds(sends, requestsPerSecond);
	}

	private static void checkSeconds(List<Long> sends, double requestsPerSecond) {
		for (long startMillis : sends) {
			long sentWithinSecond = sends.stream()
				.filter((sent) -> sent >= startMillis && sent < startMillis + 1_000)
				.count();
			assertThat((double) sentWithinSecond)
				.isLessThanOrEqualTo(requestsPerSecond * RATE_TOLERANCE + EXTRA_REQUESTS);
		}
	}

}
