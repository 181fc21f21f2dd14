package io.dotterelcrank.version;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Record of the configuration stream. Immutable.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "record")
@JsonSubTypes({ @JsonSubTypes.Type(value = ConfigurationRecord.Proposal.class, name = "proposal"),
		@JsonSubTypes.Type(value = ConfigurationRecord.Snapshot.class, name = "snapshot") })
public sealed interface ConfigurationRecord {

	/**
	 * Changes proposed by an operator, which are accepted or rejected as a whole.
	 *
	 * @param id unique id of the proposal
	 * @param basedOn version that the changes are based on; the proposal is rejected if
	 * another version is in force
	 * @param operator name of the operator
	 * @param changes the changes, in order
	 */
	record Proposal(String id, long basedOn, String operator, List<Change> changes) implements ConfigurationRecord {
	}

	/**
	 * State after applying every record up to an offset.
	 *
	 * @param through offset of the last record applied
	 * @param configuration configuration after that record
	 * @param recentIds ids of the last proposals decided, oldest first; used to ignore
	 * repetitions
	 */
	record Snapshot(long through, Configuration configuration, List<String> recentIds) implements ConfigurationRecord {
	}

}
