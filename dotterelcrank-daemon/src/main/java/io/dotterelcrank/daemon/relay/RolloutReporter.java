package io.dotterelcrank.daemon.relay;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.RendezvousHash;
import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.process.membership.Member;
import io.dotterelcrank.process.replica.KeyedTableStore;
import io.dotterelcrank.process.rollout.RolloutDecision;
import io.dotterelcrank.process.rollout.RolloutOrder;

/**
 * Writes the state of roll-outs to the status table. The host that has made a decision
 * writes first; a few hosts that rank first for the service look later whether it has.
 * Invariant: a host reads the status table before the decisions, and appends only if the
 * status table has not changed since, so that an older state never replaces a newer one.
 * Addresses the load pattern of hosts that are killed right after a write under a
 * condition, and of writes that the store executes seconds later. Confined to the control
 * thread.
 */
final class RolloutReporter {

	/** Time between two checks, in milliseconds. */
	static final long POLL_MILLIS = 100;

	/**
	 * Time for which each rank waits longer than the one before it, in milliseconds; far
	 * above the time of a write.
	 */
	static final long RANK_DELAY_MILLIS = 1_000;

	/** Number of hosts that write the state of a service's roll-out if none else has. */
	static final int MAX_RANKS = 4;

	private static final Logger logger = LoggerFactory.getLogger(RolloutReporter.class);

	private final RolloutFeed feed;

	private final RelayPlatform platform;

	private final RelayRuntime runtime;

	/** Name of this host. */
	private final String host;

	/** States to be reported by service. */
	private final Map<String, Report> reports = new HashMap<>();

	RolloutReporter(RolloutFeed feed, RelayPlatform platform, RelayRuntime runtime, String host) {
		this.feed = feed;
		this.platform = platform;
		this.runtime = runtime;
		this.host = host;
	}

	void start() {
		this.runtime.controlScheduler().scheduleWithFixedDelay(POLL_MILLIS, this::poll);
	}

	private void poll() {
		this.feed.keepCurrent();
		long nowMillis = this.runtime.clock().millis();
		for (RolloutOrder order : List.copyOf(this.feed.orders().values())) {
			RolloutDecision.Stage stage = this.feed.stage(order);
			Report report = this.reports.get(order.service());
			if (report == null || !report.order.equals(order) || report.stage != stage) {
				boolean written = report != null && report.done && report.order.equals(order)
						&& Arrays.equals(encode(order, report.stage), encode(order, stage));
				report = new Report(order, stage, nowMillis + delayMillis(order, stage), written);
				this.reports.put(order.service(), report);
			}
			if (!report.done && !report.running && nowMillis >= report.dueMillis && mayWrite(order.service())) {
				write(report);
			}
		}
	}

	private byte[] encode(RolloutOrder order, RolloutDecision.Stage stage) {
		return this.platform.encodeStatus(order, stage);
	}

	private long delayMillis(RolloutOrder order, RolloutDecision.Stage stage) {
		if (this.feed.hasDecided(order)) {
			return 0;
		}
		int ranksBefore = Math.max(0, rank(order.service())) + ((stage == RolloutDecision.Stage.TRIAL) ? 0 : 1);
		return RANK_DELAY_MILLIS * ranksBefore;
	}

	private int rank(String service) {
		return RendezvousHash.rank(service, this.runtime.members(), Member::name)
			.stream()
			.map(Member::name)
			.toList()
			.indexOf(this.host);
	}

	private boolean mayWrite(String service) {
		int rank = rank(service);
		if (!this.feed.ordersCurrent()) {
			return false;
		}
		return (rank >= 0 && rank < MAX_RANKS) || this.feed.hasDecided(this.feed.orders().get(service));
	}

	private void write(Report report) {
		report.running = true;
		long startedMillis = this.runtime.clock().millis();
		KeyedTableStore store = this.runtime.store();
		store.list(this.platform.statusTable())
			.thenCompose((status) -> store.list(RolloutRecord.TABLE)
				.thenComposeAsync((decisions) -> writeIfOutdated(report, status, decisions, startedMillis),
						this.runtime.controlScheduler()::execute))
			.whenComplete((written, failure) -> this.runtime.controlScheduler().execute(() -> {
				report.running = false;
				report.done = failure == null && written;
				report.dueMillis = this.runtime.clock().millis() + RolloutFeed.RETRY_MILLIS;
			}));
	}

	/**
	 * Writes the state unless the status table has it already.
	 * @param report the state
	 * @param status listing of the status table
	 * @param decisions listing of the decisions, read after it
	 * @param startedMillis when the listings were requested
	 * @return completes with whether the status table has the state
	 */
	private CompletableFuture<Boolean> writeIfOutdated(Report report, KeyedTableStore.Batch status,
			KeyedTableStore.Batch decisions, long startedMillis) {
		RolloutOrder order = report.order;
		this.feed.applyListing(decisions, this.runtime.clock().millis() - startedMillis);
		boolean current = order.equals(this.feed.orders().get(order.service()))
				&& this.feed.stage(order) == report.stage;
		if (!current) {
			return CompletableFuture.completedFuture(false);
		}
		String key = this.platform.statusKey(order.service());
		byte[] value = encode(order, report.stage);
		for (KeyedRecord record : status.records()) {
			if (record.key().equals(key) && Arrays.equals(record.value(), value)) {
				return CompletableFuture.completedFuture(true);
			}
		}
		return this.runtime.store()
			.tryAppend(this.platform.statusTable(), status.nextOffset(), key, value)
			.thenApply((written) -> {
				if (written) {
					LogEvent.ROLLOUT_REPORTED.log(logger, order.service(), order.version(), report.stage);
				}
				return written;
			});
	}

	/**
	 * A state to be reported. Confined to the control thread.
	 */
	private static final class Report {

		private final RolloutOrder order;

		private final RolloutDecision.Stage stage;

		/** When the next try is due. */
		private long dueMillis;

		private boolean running;

		/** Whether the status table has the state. */
		private boolean done;

		Report(RolloutOrder order, RolloutDecision.Stage stage, long dueMillis, boolean done) {
			this.order = order;
			this.stage = stage;
			this.dueMillis = dueMillis;
			this.done = done;
		}

	}

}
