package io.dotterelcrank.version;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property-based tests for {@link ConfigurationStateMachine}: readers of random logs, in
 * which records expire and repeat, must agree with one that has read every record.
 */
class ConfigurationStateMachineProperties {

	@Property(tries = 4_000, seed = "21")
	void readersAgreeWhereverTheyStart(@ForAll @Size(max = 40) List<@IntRange(max = 999) Integer> randomNumbers) {
		List<ConfigurationRecord> log = new ArrayList<>();
		List<ConfigurationStateMachine> readers = new ArrayList<>(List.of(ConfigurationStateMachine.create()));
		ConfigurationStateMachine reference = readers.get(0);
		long lastExpiredOffset = 0;
		for (int random : randomNumbers) {
			long versionBefore = reference.configuration().version();
			log.add(nextRecord(random, reference, log));
			reference.apply(log.size(), log.get(log.size() - 1));
			assertThat(reference.configuration().version()).isGreaterThanOrEqualTo(versionBefore);
			if (random % 5 == 0) {
				lastExpiredOffset = Math.max(lastExpiredOffset, log.size() - 1 - random % 11);
				readers.add(ConfigurationStateMachine.create());
			}
			for (ConfigurationStateMachine reader : readers.subList(1, readers.size())) {
				catchUp(reader, log, lastExpiredOffset);
				if (reader.gapFree()) {
					assertThat(reader.configuration()).isEqualTo(reference.configuration());
				}
			}
		}
	}

	/**
	 * Lets a reader apply the records it has not yet seen, except those that have
	 * expired.
	 */
	private static void catchUp(ConfigurationStateMachine reader, List<ConfigurationRecord> log,
			long lastExpiredOffset) {
		long version = reader.configuration().version();
		for (long offset = Math.max(reader.nextOffset(), lastExpiredOffset + 1); offset <= log.size(); offset++) {
			reader.apply(offset, log.get((int) offset - 1));
			assertThat(reader.configuration().version()).isGreaterThanOrEqualTo(version);
			version = reader.configuration().version();
		}
	}

	private static ConfigurationRecord nextRecord(int random, ConfigurationStateMachine reference,
			List<ConfigurationRecord> log) {
		boolean duplicate = random % 10 == 0 && !log.isEmpty();
		if (duplicate) {
			return log.get(random % log.size());
		}
		if (random % 10 < 3) {
			return reference.snapshot();
		}
		long basedOn = (random % 4 == 0) ? Math.max(0, reference.configuration().version() - 1)
				: reference.configuration().version();
		Change change = (random % 9 == 0) ? new Change.SetDefault(Setting.SHARE_WEIGHT, -1)
				: new Change.SetDefault(Setting.TOKEN_TARGET_MILLIS, 1 + random);
		return new ConfigurationRecord.Proposal("p" + log.size(), basedOn, "operator", List.of(change));
	}

	@Property(tries = 1_000, seed = "22")
	void acceptsOneOfSeveralProposalsBasedOnTheSameVersion(@ForAll @IntRange(min = 2, max = 9) int proposals) {
		ConfigurationStateMachine stateMachine = ConfigurationStateMachine.create();
		int accepted = 0;
		for (int i = 1; i <= proposals; i++) {
			ConfigurationRecord.Proposal proposal = new ConfigurationRecord.Proposal("p" + i, 0, "operator " + i,
					List.of(new Change.SetDefault(Setting.TOKEN_TARGET_MILLIS, i)));
			accepted += (int) stateMachine.apply(i, proposal)
				.stream()
				.filter(ConfigurationStateMachine.Decision::accepted)
				.count();
		}
		assertThat(accepted).isEqualTo(1);
		assertThat(stateMachine.configuration().version()).isEqualTo(1);
	}

}
