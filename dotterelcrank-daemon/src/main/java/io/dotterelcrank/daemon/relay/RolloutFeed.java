package io.dotterelcrank.daemon.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.process.membership.Member;
import io.dotterelcrank.process.relay.RolloutView;
import io.dotterelcrank.process.replica.KeyedTable;
import io.dotterelcrank.process.replica.KeyedTableStore;
import io.dotterelcrank.process.replica.PeerTableSync;
import io.dotterelcrank.process.replica.TableFeed;
import io.dotterelcrank.process.replica.TableSharing;
import io.dotterelcrank.process.rollout.RolloutClient;
import io.dotterelcrank.process.rollout.RolloutDecision;
import io.dotterelcrank.process.rollout.RolloutOrder;

/**
 * Orders of roll-outs and the decisions on them, as the store holds them. Invariants: a
 * decision is appended only after the newest one of its service that this host has read,
 * and only if it may follow that one; the table of decisions is not read before the first
 * order. Confined to the control thread.
 */
final class RolloutFeed {

	/**
	 * Maximum time that the store holds a read of the decisions while a roll-out runs, as
	 * a fraction of the time within which a roll-back must be in force.
	 */
	static final double LONG_POLL_FRACTION = 0.1;

	/**
	 * Time without a push after which a host reads the decisions by itself, as a fraction
	 * of the time within which a roll-back must be in force.
	 */
	static final double FOLLOW_FRACTION = 0.06;

	/**
	 * Time after a proposal with an unknown outcome before the next one, in milliseconds.
	 */
	static final long RETRY_MILLIS = 300;

	/** Age at which the decisions are listed, in waits of a read. */
	private static final double MAX_AGE_WAITS = 1.5;

	/** Max age of orders whose state is written, in intervals between two reads. */
	private static final int MAX_ORDER_AGE_INTERVALS = 2;

	private static final Logger logger = LoggerFactory.getLogger(RolloutFeed.class);

	private final RelayEntrySettings settings;

	private final RelayRuntime runtime;

	/** Called after orders or decisions have changed. */
	private final Runnable onChange;

	private final RolloutReporter reporter;

	/** Orders in force by service. */
	private final Map<String, RolloutOrder> orders = new LinkedHashMap<>();

	/** Services whose order was withdrawn. */
	private final Set<String> withdrawn = new HashSet<>();

	/** Newest decisions by service. */
	private final Map<String, RolloutDecision> decisions = new LinkedHashMap<>();

	/** Newest decisions that this host has proposed, by service. */
	private final Map<String, RolloutDecision> ownDecisions = new HashMap<>();

	/** Services with a proposal that has no outcome yet. */
	private final Set<String> proposing = new HashSet<>();

	private final SkippedRecords skippedRecords = SkippedRecords.of(RolloutRecord.TABLE);

	private long nextProposalMillis;

	/** Whether the decisions are being listed besides the feed. */
	private boolean listing;

	private long nextListingMillis;

	private PeerTableSync peerSync;

	private TableSharing sharing;

	private TableFeed operatorsFeed;

	/** {@code null} before the first order. */
	private TableFeed feed;

	/**
	 * Creates a feed.
	 * @param settings settings of the daemon
	 * @param platform the platform that it runs on
	 * @param runtime threads, store and members
	 * @param onChange called after orders or decisions have changed
	 */
	RolloutFeed(RelayEntrySettings settings, RelayPlatform platform, RelayRuntime runtime, Runnable onChange) {
		this.settings = settings;
		this.runtime = runtime;
		this.onChange = onChange;
		this.reporter = new RolloutReporter(this, platform, runtime, settings.common().name());
	}

	private boolean enabled() {
		return this.settings.relay().rollouts().enabled();
	}

	/**
	 * Returns the client for the service's decisions.
	 * @return a client that sends nothing if the deployment has no roll-outs
	 */
	RolloutClient client() {
		return enabled() ? new PeerRolloutClient(this.runtime.transport(), this.runtime.controlScheduler(),
				this.runtime::members, this::propose) : RolloutClient.Disabled.INSTANCE;
	}

	/**
	 * Sets where the table of decisions is registered with the first order.
	 * @param tableSync exchanges records with peers
	 * @param tableSharing shares reads with peers
	 * @param ordersFeed feed of the operators' table
	 */
	void connect(PeerTableSync tableSync, TableSharing tableSharing, TableFeed ordersFeed) {
		this.operatorsFeed = ordersFeed;
		this.peerSync = tableSync;
		this.sharing = tableSharing;
	}

	/**
	 * Handles an order of the operators.
	 * @param order newest order of its service
	 */
	void updateOrder(RolloutOrder order) {
		if (!enabled()) {
			return;
		}
		this.withdrawn.remove(order.service());
		this.orders.put(order.service(), order);
		if (this.feed == null) {
			startFeed();
		}
		updateWait();
	}

	/**
	 * Handles the withdrawal of an order.
	 * @param service name of the service
	 */
	void removeOrder(String service) {
		if (this.orders.remove(service) != null) {
			this.withdrawn.add(service);
			updateWait();
		}
	}

	private void startFeed() {
		this.feed = TableFeed.longPolling(RolloutRecord.TABLE, this.runtime.store(), this.runtime.clock(),
				this.runtime.controlScheduler(), runningWaitMillis(), 0, this::handleRecords);
		this.peerSync.add(this.feed);
		this.sharing.add(this.feed, (long) (this.settings.relay().rollouts().rollbackMillis() * FOLLOW_FRACTION));
		this.feed.start();
		this.reporter.start();
	}

	private long runningWaitMillis() {
		return (long) (this.settings.relay().rollouts().rollbackMillis() * LONG_POLL_FRACTION);
	}

	private boolean running() {
		return this.orders.values().stream().anyMatch((order) -> !stage(order).isFinal());
	}

	private void updateWait() {
		this.feed.updateWait(running() ? runningWaitMillis() : this.operatorsFeed.intervalMillis());
	}

	/**
	 * Lists the decisions if a roll-out runs and this host reads them, but they are older
	 * than usual, since a read with a longer wait was started before the order.
	 */
	void keepCurrent() {
		boolean readsItself = this.feed.reachable() && !this.feed.following();
		if (running() && readsItself && !this.listing && this.runtime.clock().millis() >= this.nextListingMillis
				&& this.feed.ageMillis() > MAX_AGE_WAITS * runningWaitMillis()) {
			readAgain();
		}
	}

	private void handleRecords(List<KeyedRecord> records) {
		for (KeyedRecord record : records) {
			if (record.deleted()) {
				this.decisions.remove(record.key());
				continue;
			}
			try {
				this.decisions.put(record.key(), RolloutRecord.decode(record));
				this.skippedRecords.forget(record);
			}
			catch (RuntimeException | Error ex) {
				this.skippedRecords.add(record, ex);
			}
		}
		updateWait();
		this.onChange.run();
	}

	/**
	 * Applies a listing of the decisions that was read besides the feed.
	 * @param batch the listing
	 * @param ageMillis time since it was requested, in milliseconds
	 */
	void applyListing(KeyedTableStore.Batch batch, long ageMillis) {
		if (!batch.expired()) {
			this.feed.applyPeerRecords(new KeyedTable.Update(0, batch.records(), batch.epoch()), batch.nextOffset(),
					ageMillis);
		}
	}

	private void propose(RolloutDecision decision) {
		boolean possible = this.feed != null && this.feed.ageMillis() < Integer.MAX_VALUE
				&& !this.proposing.contains(decision.service())
				&& this.runtime.clock().millis() >= this.nextProposalMillis;
		if (!possible || !maySucceed(decision)) {
			return;
		}
		this.proposing.add(decision.service());
		this.ownDecisions.put(decision.service(), decision);
		long endOffset = this.feed.records().nextOffset();
		long epoch = this.feed.records().epoch();
		byte[] value = RolloutRecord.encode(decision);
		this.runtime.store()
			.tryAppend(RolloutRecord.TABLE, endOffset, decision.service(), value)
			.whenComplete((accepted, failure) -> this.runtime.controlScheduler().execute(() -> {
				this.proposing.remove(decision.service());
				String outcome = (failure != null) ? "unknown" : accepted ? "accepted" : "refused";
				LogEvent.ROLLOUT_ANSWERED.log(logger, decision.service(), decision.version(), decision.stage(),
						outcome);
				if (failure == null && accepted) {
					this.feed.applyPeerRecords(
							new KeyedTable.Update(endOffset,
									List.of(new KeyedRecord(decision.service(), endOffset, value)), epoch),
							endOffset + 1, 0);
					return;
				}
				this.nextProposalMillis = this.runtime.clock().millis() + RETRY_MILLIS;
				readAgain();
			}));
	}

	/**
	 * Returns whether a decision may follow the newest one of its service. The traffic
	 * thread may have made it before it knew that one.
	 * @param decision decision of the traffic thread
	 * @return {@code false} if its order is not in force, or the roll-out has left the
	 * stage that it ends
	 */
	private boolean maySucceed(RolloutDecision decision) {
		RolloutOrder order = this.orders.get(decision.service());
		if (order == null || order.offset() != decision.orderOffset()) {
			return false;
		}
		Optional<RolloutDecision.Stage> current = decision(order).map(RolloutDecision::stage);
		if (decision.stage() == RolloutDecision.Stage.COMPLETED) {
			return current.filter((stage) -> stage == RolloutDecision.Stage.SHIFTING).isPresent();
		}
		return current.filter((stage) -> stage.isFinal() || stage.compareTo(decision.stage()) >= 0).isEmpty();
	}

	private void readAgain() {
		long startedMillis = this.runtime.clock().millis();
		this.listing = true;
		this.nextListingMillis = startedMillis + runningWaitMillis();
		this.runtime.store()
			.list(RolloutRecord.TABLE)
			.whenComplete((batch, failure) -> this.runtime.controlScheduler().execute(() -> {
				this.listing = false;
				if (failure == null) {
					applyListing(batch, this.runtime.clock().millis() - startedMillis);
				}
			}));
	}

	/**
	 * Returns the orders in force.
	 * @return live view by service
	 */
	Map<String, RolloutOrder> orders() {
		return this.orders;
	}

	/**
	 * Returns whether the orders are current.
	 * @return {@code false} if a newer order may have been overlooked
	 */
	boolean ordersCurrent() {
		return this.operatorsFeed.ageMillis() <= MAX_ORDER_AGE_INTERVALS * this.operatorsFeed.intervalMillis();
	}

	private Optional<RolloutDecision> decision(RolloutOrder order) {
		return Optional.ofNullable(this.decisions.get(order.service()))
			.filter((decision) -> decision.orderOffset() == order.offset());
	}

	/**
	 * Returns the stage of a roll-out.
	 * @param order its order
	 * @return stage of the newest decision on this order
	 */
	RolloutDecision.Stage stage(RolloutOrder order) {
		return decision(order).map(RolloutDecision::stage).orElse(RolloutDecision.Stage.TRIAL);
	}

	/**
	 * Returns whether this host has made the decision in force.
	 * @param order order of the roll-out
	 * @return {@code false} if another host has, or none was made
	 */
	boolean hasDecided(RolloutOrder order) {
		return decision(order).filter((decision) -> decision.equals(this.ownDecisions.get(order.service())))
			.isPresent();
	}

	/**
	 * Returns what this host knows now.
	 * @return an immutable snapshot
	 */
	RolloutView view() {
		return new RolloutView(this.runtime.members().stream().map(Member::name).toList(), ageMillis(),
				List.copyOf(this.orders.values()), List.copyOf(this.withdrawn), List.copyOf(this.decisions.values()));
	}

	/**
	 * Returns the age of what a new version's requests depend on: the time since the
	 * orders were due to be read and, while a roll-out runs, the age of the decisions if
	 * that is longer.
	 * @return age in milliseconds
	 */
	private long ageMillis() {
		long ordersMillis = Math.max(0, this.operatorsFeed.ageMillis() - this.operatorsFeed.intervalMillis());
		return running() ? Math.max(this.feed.ageMillis(), ordersMillis) : ordersMillis;
	}

}
