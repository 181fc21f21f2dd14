package io.dotterelcrank.process.relay;

import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Model check of prompts with a part that crashes engines, of hosts that restart, and of
 * engines that are reclaimed meanwhile: the part is not sent on, sound prompts are.
 */
class CrashingPromptPartProperties {

	/** Number of crashes after which hosts have to know a part. */
	private static final int CRASHES = 5;

	/** Max number of requests with the part after that. */
	private static final long MAX_SENDS = 3;

	@Property(tries = 60, seed = "30")
	void partThatCrashesEnginesIsNotSentOnByThreeHosts(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		check(3, 6, seed, 6);
	}

	@Property(tries = 15, seed = "31")
	void partThatCrashesEnginesIsNotSentOnByManyHosts(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		check(21, 40, seed, 30);
	}

	@Property(tries = 1, seed = "32")
	void partThatCrashesEnginesIsNotSentOnByALargeFleet(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		check(340, 120, seed, 60);
	}

	private static void check(int hosts, int engines, int seed, double soundPerSecond) {
		Random random = new Random(seed);
		CrashFleet fleet = new CrashFleet(hosts, engines, 3 + engines / 4, random);
		List<String> parts = IntStream.rangeClosed(1, 1 + random.nextInt(2))
			.mapToObj((index) -> "bad" + index)
			.toList();
		fleet.play(20_000, soundPerSecond, 0);
		parts.forEach(fleet::makeCrashing);
		long beganMillis = fleet.now();
		fleet.playWithFaults(soundPerSecond);
		assertThat(fleet.wronglyBlamed()).as("sound content that is refused").isEmpty();
		for (String part : parts) {
			OptionalLong lastFree = fleet.crashMillis(part, CRASHES);
			if (lastFree.isPresent()) {
				assertThat(fleet.sendsSince(part, lastFree.getAsLong() + CrashFleet.CONTACT_MILLIS))
					.as("requests with %s sent after its fifth crash", part)
					.isLessThanOrEqualTo(MAX_SENDS);
			}
			String first = fleet.firstPartBeside(part);
			assertThat(fleet.begunFraction(first, beganMillis + 20_000, fleet.now()))
				.as("sound requests with %s that begin at the first attempt", first)
				.isGreaterThanOrEqualTo(0.5 * fleet.begunFraction(first, beganMillis - 20_000, beganMillis));
		}
	}

}
