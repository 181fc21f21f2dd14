package io.dotterelcrank.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.process.rollout.RolloutDecision;
import io.dotterelcrank.process.rollout.RolloutOrder;

/**
 * Converts decisions on roll-outs to records of the product's own table, whose key is the
 * service. A value has one line each for the stage, the offset of the order, the version
 * and the reason. Orders on the product's own platform have one line each for the time
 * and the version. Stateless.
 */
public final class RolloutRecord {

	/** Table of the decisions. */
	public static final String TABLE = "rollouts";

	/** Table of the orders on the product's own platform. */
	public static final String ORDERS_TABLE = "operators";

	/** Prefix of the keys of orders there; the service follows. */
	private static final String ORDER_PREFIX = "rollout/";

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
	public static RolloutDecision decode(KeyedRecord record) {
		String[] fields = new String(record.value(), StandardCharsets.UTF_8).split("\n", FIELDS);
		if (fields.length != FIELDS) {
			throw new IllegalArgumentException("not a decision on a roll-out");
		}
		return new RolloutDecision(record.key(), fields[2], Long.parseLong(fields[1]),
				RolloutDecision.Stage.valueOf(fields[0]), fields[FIELDS - 1]);
	}

	/**
	 * Returns the key of a service's order.
	 * @param service name of the service
	 * @return key in {@link #ORDERS_TABLE}
	 */
	public static String orderKey(String service) {
		return ORDER_PREFIX + service;
	}

	/**
	 * Encodes an order.
	 * @param version version that is to get all requests
	 * @param durationMillis time within which the roll-out has to end, in milliseconds
	 * @return value of the record
	 */
	public static byte[] encodeOrder(String version, long durationMillis) {
		return (durationMillis + "\n" + version).getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Decodes an order.
	 * @param record record of {@link #ORDERS_TABLE}, not a tombstone
	 * @return the order, or empty if the record is no order
	 * @throws IllegalArgumentException if the order is malformed
	 */
	public static Optional<RolloutOrder> decodeOrder(KeyedRecord record) {
		if (!record.key().startsWith(ORDER_PREFIX)) {
			return Optional.empty();
		}
		String[] fields = new String(record.value(), StandardCharsets.UTF_8).split("\n", 2);
		if (fields.length != 2) {
			throw new IllegalArgumentException("not an order of a roll-out");
		}
		return Optional.of(new RolloutOrder(record.key().substring(ORDER_PREFIX.length()), fields[1],
				Long.parseLong(fields[0]), record.offset()));
	}

}
