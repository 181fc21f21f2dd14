package io.dotterelcrank.daemon.relay;

import java.nio.charset.StandardCharsets;

import io.dotterelcrank.process.replica.KeyedRecord;
import io.dotterelcrank.process.rollout.RolloutDecision;

/**
 * Converts decisions on roll-outs to records of the product's own table, whose key is the
 * service. A value has one line each for the stage, the offset of the order, the version
 * and the reason. Stateless.
 */
final class RolloutRecord {

	/** Table of the decisions. */
	static final String TABLE = "rollouts";

	private static final int FIELDS = 4;

	private RolloutRecord() {
	}

	static byte[] encode(RolloutDecision decision) {
		return String
			.join("\n", decision.stage().name(), Long.toString(decision.orderOffset()), decision.version(),
					decision.reason())
			.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Decodes a record.
	 * @param record record of the table, not a tombstone
	 * @return the decision
	 * @throws IllegalArgumentException if the record is malformed
	 */
	static RolloutDecision decode(KeyedRecord record) {
		String[] fields = new String(record.value(), StandardCharsets.UTF_8).split("\n", FIELDS);
		if (fields.length != FIELDS) {
			throw new IllegalArgumentException("not a decision on a roll-out");
		}
		return new RolloutDecision(record.key(), fields[2], Long.parseLong(fields[1]),
				RolloutDecision.Stage.valueOf(fields[0]), fields[FIELDS - 1]);
	}

}
