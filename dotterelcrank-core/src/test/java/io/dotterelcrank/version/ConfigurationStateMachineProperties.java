package io.dotterelcrank.version;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Properties of {@link ConfigurationStateMachine}: a model check over random logs.
 */
class ConfigurationStateMachineProperties {

	@Property(tries = 4_000, seed = "21")
	void everyReaderAgreesWhereverItStarts(@ForAll @Size(max = 40) List<@IntRange(max = 999) Integer> draws) {
		List<ConfigurationRecord> log = new ArrayList<>();
		List<ConfigurationStateMachine> readers = new ArrayList<>(List.of(ConfigurationStateMachine.create()));
		ConfigurationStateMachine complete = readers.get(0);
		long expired = 0;
		for (int draw : draws) {
			long versionBefore = complete.configuration().version();
			log.add(next(draw, complete, log));
			complete.apply(log.size(), log.get(log.size() - 1));
			assertThat(complete.configuration().version()).isGreaterThanOrEqualTo(versionBefore);
			if (draw % 5 == 0) {
				expired = Math.max(expired, log.size() - 1 - draw % 11);
				readers.add(ConfigurationStateMachine.create());
			}
			for (ConfigurationStateMachine reader : readers.subList(1, readers.size())) {
				catchUp(reader, log, expired);
				if (reader.caughtUp()) {
					assertThat(reader.configuration()).isEqualTo(complete.configuration());
				}
			}
		}
	}

	/**
	 * Lets a reader read what is kept, with a long absence now and then.
	 */
	private static void catchUp(ConfigurationStateMachine reader, List<ConfigurationRecord> log, long expired) {
		long version = reader.configuration().version();
		for (long offset = Math.max(reader.nextOffset(), expired + 1); offset <= log.size(); offset++) {
			reader.apply(offset, log.get((int) offset - 1));
			assertThat(reader.configuration().version()).isGreaterThanOrEqualTo(version);
			version = reader.configuration().version();
		}
	}

	private static ConfigurationRecord next(int draw, ConfigurationStateMachine complete,
			List<ConfigurationRecord> log) {
		boolean repeat = draw % 10 == 0 && !log.isEmpty();
		if (repeat) {
			return log.get(draw % log.size());
		}
		if (draw % 10 < 3) {
			return complete.snapshot();
		}
		long basedOn = (draw % 4 == 0) ? Math.max(0, complete.configuration().version() - 1)
				: complete.configuration().version();
		Change change = (draw % 9 == 0) ? new Change.SetDefault(Setting.SHARE_WEIGHT, -1)
				: new Change.SetDefault(Setting.TOKEN_TARGET_MILLIS, 1 + draw);
		return new ConfigurationRecord.Proposal("p" + log.size(), basedOn, "operator", List.of(change));
	}

	@Property(tries = 1_000, seed = "22")
	void ofProposalsOnTheSameVersionOneWins(@ForAll @IntRange(min = 2, max = 9) int racers) {
		ConfigurationStateMachine fold = ConfigurationStateMachine.create();
		int accepted = 0;
		for (int i = 1; i <= racers; i++) {
			ConfigurationRecord.Proposal proposal = new ConfigurationRecord.Proposal("p" + i, 0, "operator " + i,
					List.of(new Change.SetDefault(Setting.TOKEN_TARGET_MILLIS, i)));
			accepted += (int) fold.apply(i, proposal)
				.stream()
				.filter(ConfigurationStateMachine.Decision::accepted)
				.count();
		}
		assertThat(accepted).isEqualTo(1);
		assertThat(fold.configuration().version()).isEqualTo(1);
	}

}
