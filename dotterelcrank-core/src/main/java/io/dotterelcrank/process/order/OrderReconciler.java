package io.dotterelcrank.process.order;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.process.platform.WeightStore;
import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.ConfigurationHolder;
import io.dotterelcrank.version.Placement;

/**
 * Brings the engine into the state that operators published. An order states the wanted
 * end state and carries the offset of the change as fencing number. Invariants: one order
 * at a time; an engine that does not check fencing numbers gets an order only while the
 * configuration is confirmed to be the newest. State belongs to the scheduler's thread.
 */
public final class OrderReconciler {

	/**
	 * Largest age of the configuration for orders to engines that do not check, in
	 * milliseconds.
	 */
	static final long CONFIRMED_MILLIS = 3_000;

	/** Time between attempts after a failure, in milliseconds. */
	static final long RETRY_MILLIS = 2_000;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(OrderReconciler.class);

	/** Service that the engine belongs to. */
	private final String service;

	/** Whether the engine refuses old fencing numbers. */
	private final boolean engineChecksFences;

	/** The engine. */
	private final EngineClient engine;

	/** The weight store. */
	private final WeightStore weights;

	/** Configuration in force. */
	private final ConfigurationHolder holder;

	/** Supplies the age of the configuration in milliseconds. */
	private final LongSupplier ageMillis;

	/** Runs the decisions. */
	private final Scheduler scheduler;

	/** Runs the calls, which block. */
	private final Executor io;

	/** Whether an order is in flight, or a retry is due. */
	private boolean busy;

	private OrderReconciler(EngineEndpoint target, ConfigurationHolder holder, LongSupplier ageMillis,
			Scheduler scheduler, Executor io) {
		this.service = target.service();
		this.engineChecksFences = target.checksFences();
		this.engine = target.engine();
		this.weights = target.weights();
		this.holder = holder;
		this.ageMillis = ageMillis;
		this.scheduler = scheduler;
		this.io = io;
	}

	/**
	 * Creates a reconciler.
	 * @param target whom the orders go to
	 * @param holder configuration in force
	 * @param ageMillis supplies the age of the configuration in milliseconds
	 * @param scheduler runs the decisions
	 * @param io runs the calls, which block
	 * @return a new reconciler
	 */
	public static OrderReconciler of(EngineEndpoint target, ConfigurationHolder holder, LongSupplier ageMillis,
			Scheduler scheduler, Executor io) {
		return new OrderReconciler(target, holder, ageMillis, scheduler, io);
	}

	/**
	 * Compares what the engine holds with what operators published, and gives an order if
	 * they differ.
	 * @param held what the engine reports
	 */
	public void reconcile(Placement held) {
		Configuration configuration = this.holder.current();
		Optional<Placement> wanted = configuration.placement(this.service)
			.filter((placement) -> !placement.equalsIgnoringFence(held));
		if (this.busy || wanted.isEmpty()) {
			return;
		}
		if (!this.engineChecksFences && this.ageMillis.getAsLong() > CONFIRMED_MILLIS) {
			LogEvent.ORDER_WITHHELD.log(logger, wanted.get().model(), this.ageMillis.getAsLong());
			return;
		}
		this.busy = true;
		this.io.execute(() -> give(wanted.get()));
	}

	private void give(Placement wanted) {
		try {
			long waitMillis = this.weights.requestPermit(wanted.model());
			if (waitMillis > 0) {
				retryAfter(waitMillis);
				return;
			}
			boolean stale = this.holder.current().placement(this.service).filter(wanted::equals).isEmpty();
			boolean unconfirmed = !this.engineChecksFences && this.ageMillis.getAsLong() > CONFIRMED_MILLIS;
			if (stale || unconfirmed) {
				retryAfter(0);
				return;
			}
			this.engine.order(wanted);
			LogEvent.ORDER_GIVEN.log(logger, wanted.model(), wanted.fence());
			retryAfter(RETRY_MILLIS);
		}
		catch (PlatformException ex) {
			LogEvent.ORDER_FAILED.log(logger, wanted.model(), ex.getMessage());
			retryAfter(RETRY_MILLIS);
		}
	}

	private void retryAfter(long millis) {
		this.scheduler.schedule(millis, () -> this.busy = false);
	}

	/**
	 * Whom orders go to. Immutable.
	 *
	 * @param service service that the engine belongs to
	 * @param checksFences whether the engine refuses old fencing numbers
	 * @param engine the engine
	 * @param weights the weight store
	 */
	public record EngineEndpoint(String service, boolean checksFences, EngineClient engine, WeightStore weights) {
	}

}
