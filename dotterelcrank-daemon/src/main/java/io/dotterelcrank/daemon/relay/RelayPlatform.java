package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.relay.EngineReport;
import io.dotterelcrank.process.replica.KeyedTableStore;
import io.dotterelcrank.process.rollout.RolloutDecision;
import io.dotterelcrank.process.rollout.RolloutOrder;
import io.dotterelcrank.version.plan.ServingPlan;

/**
 * Adapter between the relaying daemons and the platform that they run on. Implementations
 * are thread-safe.
 */
public interface RelayPlatform {

	/**
	 * Returns a client of the store's keyed tables.
	 * @param client sends the requests
	 * @return the tables
	 */
	KeyedTableStore store(PooledHttpClient client);

	/**
	 * Returns the converter of the platform's HTTP messages.
	 * @return the message mapper
	 */
	HttpMessageMapper messageMapper();

	/**
	 * Returns the table in which operators publish plans and take data centres out of
	 * service.
	 * @return name of the table
	 */
	String operatorsTable();

	/**
	 * Returns the table in which targets register themselves.
	 * @return name of the table
	 */
	String targetsTable();

	/**
	 * Decodes a record of the operators' table.
	 * @param record the record
	 * @return the decoded record; {@link Unrelated} for keys of other systems
	 * @throws PlatformException if it cannot be decoded
	 */
	OperatorRecord decodeOperatorRecord(KeyedRecord record) throws PlatformException;

	/**
	 * Returns the table in which operators read the state of roll-outs.
	 * @return name of the table
	 */
	String statusTable();

	/**
	 * Returns the key of the state of a service's roll-out.
	 * @param service name of the service
	 * @return key in the status table
	 */
	String statusKey(String service);

	/**
	 * Encodes the state of a roll-out.
	 * @param order order in force
	 * @param stage stage of its roll-out
	 * @return value in the status table
	 */
	byte[] encodeStatus(RolloutOrder order, RolloutDecision.Stage stage);

	/**
	 * Returns the id of the target that a record describes.
	 * @param record record of the targets' table
	 * @return id of the target
	 */
	String targetId(KeyedRecord record);

	/**
	 * Decodes a record of the targets' table.
	 * @param record the record, not a tombstone
	 * @return the registration of the target
	 * @throws PlatformException if it cannot be decoded
	 */
	TargetRegistration decodeRegistration(KeyedRecord record) throws PlatformException;

	/**
	 * Fetches the load report of an engine.
	 * @param client sends the requests
	 * @param engine address of the engine
	 * @return the report; fails if the engine does not respond in time
	 */
	CompletableFuture<EngineReport> fetchEngineReport(PooledHttpClient client, InetSocketAddress engine);

	/**
	 * Fetches the id of an engine's incarnation.
	 * @param client sends the requests
	 * @param engine address of the engine
	 * @return the id; fails if the engine does not respond in time
	 */
	CompletableFuture<String> fetchEngineId(PooledHttpClient client, InetSocketAddress engine);

	/**
	 * A decoded record of the operators' table. Immutable.
	 */
	sealed interface OperatorRecord {

	}

	/**
	 * A complete new plan.
	 *
	 * @param plan the plan
	 */
	record PlanPublished(ServingPlan plan) implements OperatorRecord {
	}

	/**
	 * A data centre was taken out of service or put back.
	 *
	 * @param name name of the data centre
	 * @param outOfService whether its targets get no new requests
	 */
	record DataCentreChanged(String name, boolean outOfService) implements OperatorRecord {
	}

	/**
	 * A service is to be moved to another version.
	 *
	 * @param order the order
	 */
	record RolloutOrdered(RolloutOrder order) implements OperatorRecord {
	}

	/**
	 * The order of a roll-out was withdrawn.
	 *
	 * @param service name of the service
	 */
	record RolloutWithdrawn(String service) implements OperatorRecord {
	}

	/**
	 * A record that this system does not use.
	 */
	record Unrelated() implements OperatorRecord {
	}

}
