package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.process.relay.EngineReport;
import io.dotterelcrank.process.replica.KeyedRecord;
import io.dotterelcrank.process.replica.KeyedTableStore;
import io.dotterelcrank.version.plan.ServingPlan;

/**
 * What a platform gives to the daemons that pass requests on. Implementations are
 * thread-safe.
 */
public interface RelayPlatform {

	/**
	 * Returns the store's keyed tables.
	 * @param exchanges connections to the store
	 * @return the tables
	 */
	KeyedTableStore store(HttpExchanges exchanges);

	/**
	 * Returns the names of headers.
	 * @return the dialect
	 */
	HttpDialect dialect();

	/**
	 * Returns the table that operators write.
	 * @return name of the table
	 */
	String operatorsTable();

	/**
	 * Returns the table that targets write.
	 * @return name of the table
	 */
	String targetsTable();

	/**
	 * Decodes a record of the operators' table.
	 * @param record the record
	 * @return what it says
	 * @throws PlatformException if it cannot be decoded
	 */
	OperatorRecord operatorRecord(KeyedRecord record) throws PlatformException;

	/**
	 * Returns the id of the target that a record is about.
	 * @param record record of the targets' table
	 * @return id of the target
	 */
	String targetId(KeyedRecord record);

	/**
	 * Decodes a record of the targets' table.
	 * @param record the record, not dropped
	 * @return what the target says
	 * @throws PlatformException if it cannot be decoded
	 */
	TargetRegistration targetEntry(KeyedRecord record) throws PlatformException;

	/**
	 * Reads what an engine says of itself.
	 * @param exchanges connections to engines
	 * @param engine address of the engine
	 * @return the report
	 */
	CompletableFuture<EngineReport> engineReport(HttpExchanges exchanges, InetSocketAddress engine);

	/**
	 * Asks an engine for the id of its incarnation.
	 * @param exchanges connections to engines
	 * @param engine address of the engine
	 * @return the id
	 */
	CompletableFuture<String> engineId(HttpExchanges exchanges, InetSocketAddress engine);

	/**
	 * What operators wrote. Immutable.
	 */
	sealed interface OperatorRecord {

	}

	/**
	 * A plan, whole.
	 *
	 * @param plan the plan
	 */
	record PlanPublished(ServingPlan plan) implements OperatorRecord {
	}

	/**
	 * Whether a data centre is taken out.
	 *
	 * @param name its name
	 * @param out whether it takes no new work
	 */
	record DataCentreChanged(String name, boolean out) implements OperatorRecord {
	}

	/**
	 * A record that concerns something else.
	 */
	record Unrelated() implements OperatorRecord {
	}

}
