package io.dotterelcrank.process.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.version.LogClient;

/**
 * Claims keys in the partitioned streams of the log. Each partition has at most one log
 * operation of this process in flight; claims that arrive meanwhile are appended together
 * next. Invariants: a claim is reported won only after the ledger has applied its record
 * as the first on a free key; a claim reported unconfirmed is released if its record
 * appears in the log later. State is confined to the scheduler's thread.
 */
public final class LogBackedClaims implements Claims {

	/** Minimum time between two appends to one partition, in milliseconds. */
	static final long APPEND_INTERVAL_MILLIS = 125;

	/** Delay before the retry of a failed log operation, in milliseconds. */
	static final long RETRY_MILLIS = 250;

	/** Maximum number of claims per append; releases and completions come on top. */
	static final int MAX_CLAIMS_PER_APPEND = 500;

	/** Idle time after which the ledger of a partition is discarded, in milliseconds. */
	static final long PARTITION_IDLE_MILLIS = 600_000;

	private static final Logger logger = LoggerFactory.getLogger(LogBackedClaims.class);

	private final String target;

	private final long incarnation;

	private final LogClient log;

	private final Clock clock;

	/** Runs everything that touches state. */
	private final Scheduler scheduler;

	/** Runs log operations, which block. */
	private final Executor io;

	/** Supplies the retention time of a claim, in milliseconds. */
	private final LongSupplier retentionMillis;

	/** Partitions in use, by number. */
	private final Map<Integer, Partition> partitions = new HashMap<>();

	/** Number of attempted appends. */
	private long appends;

	private LogBackedClaims(String target, long incarnation, LogClient log, Clock clock, Scheduler scheduler,
			Executor io, LongSupplier retentionMillis) {
		this.target = target;
		this.incarnation = incarnation;
		this.log = log;
		this.clock = clock;
		this.scheduler = scheduler;
		this.io = io;
		this.retentionMillis = retentionMillis;
	}

	/**
	 * Creates the claims of a process.
	 * @param target name of this process's target
	 * @param incarnation incarnation of this process
	 * @param log the log
	 * @param clock clock of the process
	 * @param scheduler runs everything that touches state, and calls the listeners
	 * @param io runs log operations, which block
	 * @param retentionMillis supplies the retention time of a claim, in milliseconds
	 * @return new claims
	 */
	public static LogBackedClaims of(String target, long incarnation, LogClient log, Clock clock, Scheduler scheduler,
			Executor io, LongSupplier retentionMillis) {
		return new LogBackedClaims(target, incarnation, log, clock, scheduler, io, retentionMillis);
	}

	@Override
	public void claim(ServiceCall call, Listener listener) {
		ClaimKey key = ClaimKey.of(call.claimKey());
		Partition partition = partition(key);
		ClaimRecord.Claim claim = new ClaimRecord.Claim(key, call.id(), call.contentDigest(), this.target,
				this.incarnation);
		partition.addClaim(new PendingClaim(claim, listener, this.clock.millis() + call.deadlineMillis()));
	}

	@Override
	public void abandon(ClaimKey key, String claimId) {
		partition(key).abandon(claimId);
	}

	@Override
	public void release(ClaimKey key, String claimId) {
		partition(key).addUpdate(new ClaimRecord.Release(key, claimId));
		LogEvent.CLAIM_RELEASED.log(logger, claimId);
	}

	@Override
	public void recordCompleted(ClaimKey key, String claimId) {
		partition(key).addUpdate(new ClaimRecord.Done(key, claimId));
	}

	/**
	 * Returns the number of appends.
	 * @return number of attempted appends, failed ones included
	 */
	public long appends() {
		return this.appends;
	}

	/**
	 * Returns the number of keys held.
	 * @return keys with a holder in all partitions in use
	 */
	public int size() {
		return this.partitions.values().stream().mapToInt((partition) -> partition.ledger.size()).sum();
	}

	private Partition partition(ClaimKey key) {
		this.partitions.values().removeIf(Partition::removable);
		return this.partitions.computeIfAbsent(key.partition(), Partition::new);
	}

	/**
	 * A claim whose outcome is open. Immutable.
	 *
	 * @param claim the claim
	 * @param listener notified of the outcome
	 * @param deadlineMillis deadline of the call, in milliseconds
	 */
	private record PendingClaim(ClaimRecord.Claim claim, Listener listener, long deadlineMillis) {
	}

	/**
	 * One partition: its ledger, pending claims and log operation. {@link #read} and
	 * {@link #appendAndRead} run on an I/O thread and pass results to the scheduler's
	 * thread, which runs everything else and starts no further operation until
	 * {@link #operationFinished} has run there.
	 */
	private final class Partition {

		private final int number;

		/** State after the records read so far. */
		private final ClaimLedger ledger;

		/** Claims without an outcome by id, in order of arrival. */
		private final Map<String, PendingClaim> pendingClaims = new LinkedHashMap<>();

		/** Abandoned claims whose records may still appear in the log, by id. */
		private final Map<String, ClaimRecord.Claim> abandonedClaims = new LinkedHashMap<>();

		/** Releases and completions not yet appended. */
		private final List<ClaimRecord> pendingUpdates = new ArrayList<>();

		/** Whether a log operation runs, or the delay before it or its retry. */
		private boolean operationPending;

		/** Whether the stream has been read to its end once. */
		private boolean loaded;

		/** When the last append started, in milliseconds. */
		private long lastAppendMillis = Long.MIN_VALUE / 2;

		private long lastUseMillis;

		Partition(int number) {
			this.number = number;
			this.ledger = ClaimLedger.create(LogBackedClaims.this.retentionMillis.getAsLong());
		}

		void addClaim(PendingClaim pendingClaim) {
			this.pendingClaims.put(pendingClaim.claim().claimId(), pendingClaim);
			long remainingMillis = pendingClaim.deadlineMillis() - LogBackedClaims.this.clock.millis();
			LogBackedClaims.this.scheduler.schedule(remainingMillis, () -> expireClaim(pendingClaim));
			startNextOperation();
		}

		void addUpdate(ClaimRecord update) {
			this.pendingUpdates.add(update);
			startNextOperation();
		}

		boolean removable() {
			boolean idle = this.pendingClaims.isEmpty() && this.pendingUpdates.isEmpty()
					&& this.abandonedClaims.isEmpty() && !this.operationPending;
			return idle && LogBackedClaims.this.clock.millis() - this.lastUseMillis > PARTITION_IDLE_MILLIS;
		}

		boolean abandon(String claimId) {
			PendingClaim pendingClaim = this.pendingClaims.remove(claimId);
			if (pendingClaim == null) {
				return false;
			}
			this.abandonedClaims.put(claimId, pendingClaim.claim());
			LogBackedClaims.this.scheduler.schedule(LogBackedClaims.this.retentionMillis.getAsLong(),
					() -> this.abandonedClaims.remove(claimId));
			return true;
		}

		private void expireClaim(PendingClaim pendingClaim) {
			if (abandon(pendingClaim.claim().claimId())) {
				LogEvent.CLAIM_UNCONFIRMED.log(logger, pendingClaim.claim().claimId());
				pendingClaim.listener().unconfirmed();
			}
		}

		private void startNextOperation() {
			this.lastUseMillis = LogBackedClaims.this.clock.millis();
			reportDecidedClaims();
			boolean workPending = !this.pendingClaims.isEmpty() || !this.pendingUpdates.isEmpty();
			if (this.operationPending || !workPending) {
				return;
			}
			this.operationPending = true;
			if (!this.loaded) {
				LogBackedClaims.this.io.execute(this::read);
				return;
			}
			long waitMillis = this.lastAppendMillis + APPEND_INTERVAL_MILLIS - LogBackedClaims.this.clock.millis();
			LogBackedClaims.this.scheduler.schedule(waitMillis, this::appendNextBatch);
		}

		/**
		 * Reports the claims that the ledger already decides. A claim on a key whose
		 * holder this process is about to release stays pending.
		 */
		private void reportDecidedClaims() {
			if (!this.loaded) {
				return;
			}
			releaseAbandoned();
			for (PendingClaim pendingClaim : List.copyOf(this.pendingClaims.values())) {
				Optional<ClaimLedger.Holder> holder = this.ledger.holder(pendingClaim.claim().key());
				if (holder.isPresent() && !releasePending(holder.get())) {
					this.pendingClaims.remove(pendingClaim.claim().claimId());
					notifyListener(pendingClaim, holder.get());
				}
			}
		}

		private boolean releasePending(ClaimLedger.Holder holder) {
			return this.pendingUpdates.stream()
				.anyMatch((update) -> update instanceof ClaimRecord.Release
						&& update.claimId().equals(holder.claim().claimId()));
		}

		private void notifyListener(PendingClaim pendingClaim, ClaimLedger.Holder holder) {
			boolean own = holder.claim().claimId().equals(pendingClaim.claim().claimId());
			if (own && !holder.certain()) {
				pendingClaim.listener().unconfirmed();
			}
			else if (own) {
				pendingClaim.listener().won();
			}
			else {
				pendingClaim.listener().lost(holder);
			}
		}

		private void releaseAbandoned() {
			for (ClaimRecord.Claim claim : List.copyOf(this.abandonedClaims.values())) {
				boolean holds = this.ledger.holder(claim.key())
					.filter((holder) -> holder.claim().claimId().equals(claim.claimId()))
					.isPresent();
				if (holds) {
					this.abandonedClaims.remove(claim.claimId());
					this.pendingUpdates.add(new ClaimRecord.Release(claim.key(), claim.claimId()));
				}
			}
		}

		private void appendNextBatch() {
			reportDecidedClaims();
			List<ClaimRecord> batch = nextBatch();
			if (batch.isEmpty()) {
				this.operationPending = false;
				return;
			}
			this.lastAppendMillis = LogBackedClaims.this.clock.millis();
			LogBackedClaims.this.appends++;
			LogBackedClaims.this.io.execute(() -> appendAndRead(batch));
		}

		private List<ClaimRecord> nextBatch() {
			List<ClaimRecord> batch = new ArrayList<>(this.pendingUpdates);
			this.pendingClaims.values()
				.stream()
				.sorted(Comparator.comparingLong(PendingClaim::deadlineMillis))
				.limit(MAX_CLAIMS_PER_APPEND)
				.forEach((pendingClaim) -> batch.add(pendingClaim.claim()));
			return batch;
		}

		private void appendAndRead(List<ClaimRecord> batch) {
			try {
				LogBackedClaims.this.log.append(ClaimKey.stream(this.number), ClaimRecord.encode(batch));
				LogBackedClaims.this.scheduler.execute(() -> this.pendingUpdates.removeAll(batch));
				read();
			}
			catch (PlatformException ex) {
				LogEvent.LOG_UNREADABLE.log(logger, ex.getMessage());
				read();
			}
		}

		/**
		 * Reads to the end of the stream.
		 */
		private void read() {
			try {
				long nextOffset = this.ledger.nextOffset();
				LogClient.Page page;
				do {
					page = LogBackedClaims.this.log.read(ClaimKey.stream(this.number), nextOffset, 0);
					List<LogClient.Entry> entries = page.records();
					LogBackedClaims.this.scheduler.execute(() -> apply(entries));
					nextOffset = entries.isEmpty() ? nextOffset : entries.get(entries.size() - 1).offset() + 1;
				}
				while (!page.records().isEmpty() && nextOffset <= page.endOffset());
				LogBackedClaims.this.scheduler.execute(() -> operationFinished(true));
			}
			catch (PlatformException ex) {
				LogEvent.LOG_UNREADABLE.log(logger, ex.getMessage());
				LogBackedClaims.this.scheduler.execute(() -> operationFinished(false));
			}
		}

		private void apply(List<LogClient.Entry> entries) {
			this.ledger.setRetention(LogBackedClaims.this.retentionMillis.getAsLong());
			for (LogClient.Entry entry : entries) {
				this.ledger.applyLogRecord(entry.offset(), entry.appendedAtMillis(),
						ClaimRecord.decode(entry.content()));
			}
		}

		private void operationFinished(boolean succeeded) {
			this.loaded |= succeeded;
			if (succeeded) {
				this.operationPending = false;
				startNextOperation();
			}
			else {
				LogBackedClaims.this.scheduler.schedule(RETRY_MILLIS, () -> {
					this.operationPending = false;
					startNextOperation();
				});
			}
		}

	}

}
