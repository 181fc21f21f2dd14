package io.dotterelcrank.process.order;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.process.platform.WeightStore;
import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.ConfigurationHolder;
import io.dotterelcrank.version.Placement;

/**
 * Reconciles the engine with the placement that operators published. An order states the
 * desired end state and carries the log offset of the change as fencing token.
 * Invariants: one order at a time; an engine that does not check fencing tokens receives
 * an order only while the configuration is known to be the newest. State is confined to
 * the scheduler's thread.
 */
public final class OrderReconciler {

	/**
	 * Maximum age of the configuration for orders to engines that do not check fencing
	 * tokens, in milliseconds.
	 */
	static final long MAX_CONFIGURATION_AGE_MILLIS = 3_000;

	/** Minimum delay from an order, sent or failed, to the next one, in milliseconds. */
	static final long ORDER_INTERVAL_MILLIS = 2_000;

	private static final Logger logger = LoggerFactory.getLogger(OrderReconciler.class);

	private final String service;

	private final boolean engineChecksFences;

	private final EngineClient engine;

	private final WeightStore weightStore;

	private final ConfigurationHolder configurationHolder;

	private final LongSupplier configurationAgeMillis;

	/** Runs everything that touches state. */
	private final Scheduler scheduler;

	/** Runs calls to the engine and the weight store, which block. */
	private final Executor io;

	/** Whether an order is in flight, or the delay before the next one runs. */
	private boolean orderPending;

	private OrderReconciler(EngineEndpoint endpoint, ConfigurationHolder configurationHolder,
			LongSupplier configurationAgeMillis, Scheduler scheduler, Executor io) {
		this.service = endpoint.service();
		this.engineChecksFences = endpoint.checksFences();
		this.engine = endpoint.engine();
		this.weightStore = endpoint.weightStore();
		this.configurationHolder = configurationHolder;
		this.configurationAgeMillis = configurationAgeMillis;
		this.scheduler = scheduler;
		this.io = io;
	}

	/**
	 * Creates a reconciler.
	 * @param endpoint the engine that receives the orders
	 * @param configurationHolder holds the configuration in force
	 * @param configurationAgeMillis supplies the time since the configuration was
	 * confirmed to be the newest, in milliseconds
	 * @param scheduler runs everything that touches state
	 * @param io runs calls to the engine and the weight store, which block
	 * @return a reconciler that acts on {@link #reconcile}
	 */
	public static OrderReconciler of(EngineEndpoint endpoint, ConfigurationHolder configurationHolder,
			LongSupplier configurationAgeMillis, Scheduler scheduler, Executor io) {
		return new OrderReconciler(endpoint, configurationHolder, configurationAgeMillis, scheduler, io);
	}

	/**
	 * Compares the placement that the engine reports with the published one, and sends an
	 * order if they differ.
	 * @param reported placement in the engine's last report
	 */
	public void reconcile(Placement reported) {
		Configuration configuration = this.configurationHolder.current();
		Optional<Placement> desired = configuration.placement(this.service)
			.filter((placement) -> !placement.equalsIgnoringFence(reported));
		if (this.orderPending || desired.isEmpty()) {
			return;
		}
		if (!this.engineChecksFences && this.configurationAgeMillis.getAsLong() > MAX_CONFIGURATION_AGE_MILLIS) {
			LogEvent.ORDER_WITHHELD.log(logger, desired.get().model(), this.configurationAgeMillis.getAsLong());
			return;
		}
		this.orderPending = true;
		this.io.execute(() -> sendOrder(desired.get()));
	}

	private void sendOrder(Placement desired) {
		try {
			long waitMillis = this.weightStore.requestPermit(desired.model());
			if (waitMillis > 0) {
				allowNextOrderAfter(waitMillis);
				return;
			}
			boolean superseded = this.configurationHolder.current()
				.placement(this.service)
				.filter(desired::equals)
				.isEmpty();
			boolean configurationStale = !this.engineChecksFences
					&& this.configurationAgeMillis.getAsLong() > MAX_CONFIGURATION_AGE_MILLIS;
			if (superseded || configurationStale) {
				allowNextOrderAfter(0);
				return;
			}
			this.engine.order(desired);
			LogEvent.ORDER_GIVEN.log(logger, desired.model(), desired.fence());
			allowNextOrderAfter(ORDER_INTERVAL_MILLIS);
		}
		catch (PlatformException ex) {
			LogEvent.ORDER_FAILED.log(logger, desired.model(), ex.getMessage());
			allowNextOrderAfter(ORDER_INTERVAL_MILLIS);
		}
	}

	private void allowNextOrderAfter(long millis) {
		this.scheduler.schedule(millis, () -> this.orderPending = false);
	}

	/**
	 * An engine that receives orders, with the clients that sending an order needs.
	 * Immutable.
	 *
	 * @param service service that the engine belongs to
	 * @param checksFences whether the engine refuses stale fencing tokens
	 * @param engine client of the engine
	 * @param weightStore grants the permits to load weights
	 */
	public record EngineEndpoint(String service, boolean checksFences, EngineClient engine, WeightStore weightStore) {
	}

}
