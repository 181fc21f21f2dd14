package io.dotterelcrank.process.relay;

import java.util.List;
import java.util.OptionalLong;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Model check of a request that crashes each target that begins to run it and comes again
 * at any host: it is not sent on, sound requests are.
 */
class CrashingRequestProperties {

	/** Number of crashes after which hosts have to know a request. */
	private static final int CRASHES = 3;

	/** Max number of times that it is sent after that. */
	private static final long MAX_SENDS = 3;

	@Property(tries = 60, seed = "33")
	void requestThatCrashesTargetsIsNotSentOnByThreeHosts(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		check(3, 6, 3, seed, 6);
	}

	@Property(tries = 15, seed = "34")
	void requestThatCrashesTargetsIsNotSentOnByManyHosts(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		check(21, 40, 13, seed, 30);
	}

	@Property(tries = 1, seed = "35")
	void requestThatCrashesTargetsIsNotSentOnByALargeFleet(@ForAll @IntRange(min = 0, max = 1_000_000) int seed) {
		check(340, 120, 60, seed, 60);
	}

	private static void check(int hosts, int engines, int plainTargets, int seed, double soundPerSecond) {
		Random random = new Random(seed);
		CrashFleet fleet = new CrashFleet(hosts, engines, plainTargets, random);
		fleet.play(20_000, soundPerSecond, 0);
		fleet.makeCrashing("/lookup/", "crashing lookup");
		if (random.nextBoolean()) {
			fleet.makeCrashing("/notes/", "crashing prompt");
		}
		if (random.nextInt(3) == 0) {
			fleet.makeCrashing("bad");
		}
		fleet.playWithFaults(soundPerSecond);
		assertThat(fleet.wronglyBlamed()).as("sound content that is refused").isEmpty();
		for (String body : List.of("crashing lookup", "crashing prompt")) {
			OptionalLong lastFree = fleet.crashMillis(body, CRASHES);
			if (lastFree.isPresent()) {
				assertThat(fleet.sendsSince(body, lastFree.getAsLong() + CrashFleet.CONTACT_MILLIS))
					.as("times that the %s is sent after its third crash", body)
					.isLessThanOrEqualTo(MAX_SENDS);
			}
		}
	}

}
