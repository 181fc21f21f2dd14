package io.dotterelcrank.version;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A record of the configuration stream. Immutable.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "record")
@JsonSubTypes({ @JsonSubTypes.Type(value = ConfigurationRecord.Proposal.class, name = "proposal"),
		@JsonSubTypes.Type(value = ConfigurationRecord.Snapshot.class, name = "snapshot") })
public sealed interface ConfigurationRecord {

	/**
	 * Changes proposed by an operator; accepted or rejected as a whole.
	 *
	 * @param id unique id of the proposal
	 * @param basedOn version that the operator saw
	 * @param operator who proposes
	 * @param changes the changes, in order
	 */
	record Proposal(String id, long basedOn, String operator, List<Change> changes) implements ConfigurationRecord {
	}

	/**
	 * Result of folding every record up to an offset.
	 *
	 * @param through last offset folded
	 * @param configuration configuration after that offset
	 * @param recentIds ids of the latest proposals decided, oldest first
	 */
	record Snapshot(long through, Configuration configuration, List<String> recentIds) implements ConfigurationRecord {
	}

}
