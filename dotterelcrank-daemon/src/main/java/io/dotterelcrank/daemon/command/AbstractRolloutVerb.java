package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import com.github.rvesse.airline.annotations.AirlineModule;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.daemon.client.HttpTables;
import io.dotterelcrank.daemon.relay.RolloutRecord;
import io.dotterelcrank.daemon.settings.SettingsReader;
import io.dotterelcrank.process.replica.KeyedTableStore;
import io.dotterelcrank.process.rollout.RolloutDecision;
import io.dotterelcrank.process.rollout.RolloutOrder;
import io.dotterelcrank.request.RequestException;

/**
 * Command that reads or writes the orders of roll-outs.
 */
abstract class AbstractRolloutVerb implements Verb {

	private static final Logger logger = LoggerFactory.getLogger(AbstractRolloutVerb.class);

	@AirlineModule
	PlatformOptions platform = new PlatformOptions();

	@AirlineModule
	OutputOptions output = new OutputOptions();

	/**
	 * Creates a client of the tables, which are at the address of the log.
	 * @return a new client
	 * @throws RequestException if the address is missing or invalid
	 */
	HttpTables tables() throws RequestException {
		SettingsReader reader = SettingsReader.of(System.getenv());
		String sharedAddress = reader.text("platform", this.platform.platform, "");
		String address = reader.url("log-address", this.platform.log, sharedAddress.isEmpty() ? null : sharedAddress);
		reader.throwIfInvalid();
		return HttpTables.at(address);
	}

	/**
	 * Writes the order of a service, if no other order was written meanwhile.
	 * @param tables client of the tables
	 * @param endOffset end of the operators' table when it was read
	 * @param service name of the service
	 * @param value the order; empty to withdraw it
	 * @throws RequestException if the operators' table has changed
	 * @throws PlatformException if the call fails
	 */
	static void write(HttpTables tables, long endOffset, String service, byte[] value)
			throws RequestException, PlatformException {
		if (!tables.tryAppend(RolloutRecord.ORDERS_TABLE, endOffset, RolloutRecord.orderKey(service), value)) {
			throw AbstractChangeVerb.invalidInput("the operators' table has changed meanwhile, look and try again");
		}
	}

	/**
	 * Returns the roll-outs that are ordered.
	 * @param tables client of the tables
	 * @param orders listing of the operators' table
	 * @return the roll-outs in the order of their orders
	 * @throws PlatformException if a call fails
	 */
	static List<RolloutStatus> statuses(HttpTables tables, KeyedTableStore.Batch orders) throws PlatformException {
		Map<String, RolloutDecision> decisions = new HashMap<>();
		for (KeyedRecord record : tables.list(RolloutRecord.TABLE).records()) {
			sound(RolloutRecord.TABLE, record, (sound) -> Optional.of(RolloutRecord.decode(sound)))
				.ifPresent((decision) -> decisions.put(record.key(), decision));
		}
		List<RolloutStatus> statuses = new ArrayList<>();
		for (KeyedRecord record : orders.records()) {
			sound(RolloutRecord.ORDERS_TABLE, record, RolloutRecord::decodeOrder).ifPresent(
					(order) -> statuses.add(RolloutStatus.of(order, Optional.ofNullable(decisions.get(order.service()))
						.filter((decision) -> decision.orderOffset() == order.offset()))));
		}
		return statuses;
	}

	private static <T> Optional<T> sound(String table, KeyedRecord record, Function<KeyedRecord, Optional<T>> decoder) {
		try {
			return decoder.apply(record);
		}
		catch (IllegalArgumentException ex) {
			LogEvent.RECORD_MALFORMED.log(logger, table, record.key(), record.offset(), ex.getMessage());
			return Optional.empty();
		}
	}

	/**
	 * Prints the roll-outs of some services.
	 * @param out destination
	 * @param statuses the roll-outs
	 * @throws RequestException if the output format is unknown
	 * @throws IOException if the result cannot be written
	 */
	void print(PrintStream out, List<RolloutStatus> statuses) throws RequestException, IOException {
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("SERVICE", "VERSION", "SECONDS", "STAGE", "REASON"));
		statuses.forEach((status) -> rows.add(List.of(status.service(), status.version(),
				Long.toString(status.seconds()), status.stage(), status.reason())));
		this.output.print(out, statuses, rows);
	}

	/**
	 * A roll-out. Immutable.
	 *
	 * @param service name of the service
	 * @param version version that is ordered
	 * @param seconds time within which it has to end
	 * @param stage stage in force, or ORDERED before the first decision
	 * @param reason evidence of the last decision
	 */
	record RolloutStatus(String service, String version, long seconds, String stage, String reason) {

		private static final long MILLIS_PER_SECOND = 1_000;

		private static RolloutStatus of(RolloutOrder order, Optional<RolloutDecision> decision) {
			return new RolloutStatus(order.service(), order.version(), order.durationMillis() / MILLIS_PER_SECOND,
					decision.map((made) -> made.stage().name()).orElse("ORDERED"),
					decision.map(RolloutDecision::reason).orElse(""));
		}

		boolean ended() {
			return this.stage.equals(RolloutDecision.Stage.COMPLETED.name())
					|| this.stage.equals(RolloutDecision.Stage.ROLLED_BACK.name());
		}

	}

}
