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
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.platform.LogClient;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.request.ServiceCall;

/**
 * Claims keys in the partition streams of the log. Each partition has at most one log
 * operation of this process in flight; claims that arrive meanwhile form the next group.
 * Invariants: a claim is reported won only after the ledger has folded its record as the
 * first on a free key; a claim reported unconfirmed is released when its record shows up
 * after all. State belongs to the scheduler's thread.
 */
public final class LogBackedClaims implements Claims {

	/** Smallest time between two appends to one partition, in milliseconds. */
	static final long APPEND_INTERVAL_MILLIS = 125;

	/** Time between attempts while the log fails, in milliseconds. */
	static final long RETRY_MILLIS = 250;

	/** Largest number of claim records in a group. */
	static final int GROUP_SIZE = 500;

	/** Time after which an unused partition is forgotten, in milliseconds. */
	static final long IDLE_MILLIS = 600_000;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(LogBackedClaims.class);

	/** Name of this process's target. */
	private final String target;

	/** Incarnation of this process. */
	private final long incarnation;

	/** The log. */
	private final LogClient log;

	/** Clock of the process. */
	private final Clock clock;

	/** Runs the decisions. */
	private final Scheduler scheduler;

	/** Runs the log operations, which block. */
	private final Executor io;

	/** How long a claim is remembered, in milliseconds. */
	private final LongSupplier memoryMillis;

	/** Partitions in use. */
	private final Map<Integer, Partition> partitions = new HashMap<>();

	/** Number of appends so far. */
	private long appends;

	private LogBackedClaims(String target, long incarnation, LogClient log, Clock clock, Scheduler scheduler,
			Executor io, LongSupplier memoryMillis) {
		this.target = target;
		this.incarnation = incarnation;
		this.log = log;
		this.clock = clock;
		this.scheduler = scheduler;
		this.io = io;
		this.memoryMillis = memoryMillis;
	}

	/**
	 * Creates the claims of a process.
	 * @param target name of this process's target
	 * @param incarnation incarnation of this process
	 * @param log the log
	 * @param clock clock of the process
	 * @param scheduler runs the decisions
	 * @param io runs the log operations, which block
	 * @param retentionMillis supplies how long a claim is remembered, in milliseconds
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
		partition.add(new Waiter(claim, listener, this.clock.millis() + call.deadlineMillis()));
	}

	@Override
	public void abandon(ClaimKey key, String claimId) {
		partition(key).abandon(claimId);
	}

	@Override
	public void release(ClaimKey key, String claimId) {
		partition(key).addNotice(new ClaimRecord.Release(key, claimId));
		LogEvent.CLAIM_RELEASED.log(logger, claimId);
	}

	@Override
	public void done(ClaimKey key, String claimId) {
		partition(key).addNotice(new ClaimRecord.Done(key, claimId));
	}

	/**
	 * Returns the number of appends so far.
	 * @return appends that were attempted
	 */
	public long appends() {
		return this.appends;
	}

	/**
	 * Returns the number of keys remembered.
	 * @return keys held in all partitions in use
	 */
	public int size() {
		return this.partitions.values().stream().mapToInt((partition) -> partition.ledger.size()).sum();
	}

	private Partition partition(ClaimKey key) {
		this.partitions.values().removeIf(Partition::forgettable);
		return this.partitions.computeIfAbsent(key.partition(), Partition::new);
	}

	/**
	 * A claim whose outcome is open. Immutable.
	 *
	 * @param claim the claim
	 * @param listener hears the outcome
	 * @param deadlineMillis when the caller gives up, in milliseconds
	 */
	private record Waiter(ClaimRecord.Claim claim, Listener listener, long deadlineMillis) {
	}

	/**
	 * One partition: ledger, open claims and the log operation in flight.
	 */
	private final class Partition {

		/** Number of the partition. */
		private final int number;

		/** Fold over the records read so far. */
		private final ClaimLedger ledger;

		/** Open claims by id, in order of arrival. */
		private final Map<String, Waiter> waiters = new LinkedHashMap<>();

		/** Claims given up whose records may still show up, by id. */
		private final Map<String, ClaimRecord.Claim> abandoned = new LinkedHashMap<>();

		/** Releases and completions not yet appended. */
		private final List<ClaimRecord> notices = new ArrayList<>();

		/** Whether a log operation is in flight. */
		private boolean busy;

		/** Whether the ledger has been read to the log's end once. */
		private boolean loaded;

		/** When the last append started, in milliseconds. */
		private long lastAppendMillis = Long.MIN_VALUE / 2;

		/** When the partition was last used, in milliseconds. */
		private long lastUseMillis;

		Partition(int number) {
			this.number = number;
			this.ledger = ClaimLedger.create(LogBackedClaims.this.memoryMillis.getAsLong());
		}

		void add(Waiter waiter) {
			this.waiters.put(waiter.claim().claimId(), waiter);
			long leftMillis = waiter.deadlineMillis() - LogBackedClaims.this.clock.millis();
			LogBackedClaims.this.scheduler.schedule(leftMillis, () -> giveUp(waiter));
			step();
		}

		void addNotice(ClaimRecord notice) {
			this.notices.add(notice);
			step();
		}

		boolean forgettable() {
			boolean idle = this.waiters.isEmpty() && this.notices.isEmpty() && this.abandoned.isEmpty() && !this.busy;
			return idle && LogBackedClaims.this.clock.millis() - this.lastUseMillis > IDLE_MILLIS;
		}

		boolean abandon(String claimId) {
			Waiter waiter = this.waiters.remove(claimId);
			if (waiter == null) {
				return false;
			}
			this.abandoned.put(claimId, waiter.claim());
			LogBackedClaims.this.scheduler.schedule(LogBackedClaims.this.memoryMillis.getAsLong(),
					() -> this.abandoned.remove(claimId));
			return true;
		}

		private void giveUp(Waiter waiter) {
			if (abandon(waiter.claim().claimId())) {
				LogEvent.CLAIM_UNCONFIRMED.log(logger, waiter.claim().claimId());
				waiter.listener().unconfirmed();
			}
		}

		private void step() {
			this.lastUseMillis = LogBackedClaims.this.clock.millis();
			settle();
			boolean work = !this.waiters.isEmpty() || !this.notices.isEmpty();
			if (this.busy || !work) {
				return;
			}
			this.busy = true;
			if (!this.loaded) {
				LogBackedClaims.this.io.execute(this::read);
				return;
			}
			long waitMillis = this.lastAppendMillis + APPEND_INTERVAL_MILLIS - LogBackedClaims.this.clock.millis();
			LogBackedClaims.this.scheduler.schedule(waitMillis, this::appendGroup);
		}

		/**
		 * Reports the outcomes that the ledger already decides. A claim on a key whose
		 * holder this process is about to release stays open.
		 */
		private void settle() {
			if (!this.loaded) {
				return;
			}
			releaseAbandoned();
			for (Waiter waiter : List.copyOf(this.waiters.values())) {
				Optional<ClaimLedger.Holder> holder = this.ledger.holder(waiter.claim().key());
				if (holder.isPresent() && !releasing(holder.get())) {
					this.waiters.remove(waiter.claim().claimId());
					report(waiter, holder.get());
				}
			}
		}

		private boolean releasing(ClaimLedger.Holder holder) {
			return this.notices.stream()
				.anyMatch((notice) -> notice instanceof ClaimRecord.Release
						&& notice.claimId().equals(holder.claim().claimId()));
		}

		private void report(Waiter waiter, ClaimLedger.Holder holder) {
			boolean own = holder.claim().claimId().equals(waiter.claim().claimId());
			if (own && !holder.certain()) {
				waiter.listener().unconfirmed();
			}
			else if (own) {
				waiter.listener().won();
			}
			else {
				waiter.listener().lost(holder);
			}
		}

		private void releaseAbandoned() {
			for (ClaimRecord.Claim claim : List.copyOf(this.abandoned.values())) {
				boolean holds = this.ledger.holder(claim.key())
					.filter((holder) -> holder.claim().claimId().equals(claim.claimId()))
					.isPresent();
				if (holds) {
					this.abandoned.remove(claim.claimId());
					this.notices.add(new ClaimRecord.Release(claim.key(), claim.claimId()));
				}
			}
		}

		private void appendGroup() {
			settle();
			List<ClaimRecord> group = nextGroup();
			if (group.isEmpty()) {
				this.busy = false;
				return;
			}
			this.lastAppendMillis = LogBackedClaims.this.clock.millis();
			LogBackedClaims.this.appends++;
			LogBackedClaims.this.io.execute(() -> append(group));
		}

		private List<ClaimRecord> nextGroup() {
			List<ClaimRecord> group = new ArrayList<>(this.notices);
			this.waiters.values()
				.stream()
				.sorted(Comparator.comparingLong(Waiter::deadlineMillis))
				.limit(GROUP_SIZE)
				.forEach((waiter) -> group.add(waiter.claim()));
			return group;
		}

		private void append(List<ClaimRecord> group) {
			try {
				LogBackedClaims.this.log.append(ClaimKey.stream(this.number), ClaimRecord.encode(group));
				LogBackedClaims.this.scheduler.execute(() -> this.notices.removeAll(group));
				read();
			}
			catch (PlatformException ex) {
				LogEvent.LOG_UNREADABLE.log(logger, ex.getMessage());
				read();
			}
		}

		/**
		 * Reads to the end of the stream. Runs on an I/O thread, while {@link #busy}.
		 */
		private void read() {
			try {
				long from = this.ledger.nextOffset();
				LogClient.Page page;
				do {
					page = LogBackedClaims.this.log.read(ClaimKey.stream(this.number), from, 0);
					List<LogClient.Entry> entries = page.records();
					LogBackedClaims.this.scheduler.execute(() -> fold(entries));
					from = entries.isEmpty() ? from : entries.get(entries.size() - 1).offset() + 1;
				}
				while (!page.records().isEmpty() && from <= page.endOffset());
				LogBackedClaims.this.scheduler.execute(() -> finished(true));
			}
			catch (PlatformException ex) {
				LogEvent.LOG_UNREADABLE.log(logger, ex.getMessage());
				LogBackedClaims.this.scheduler.execute(() -> finished(false));
			}
		}

		private void fold(List<LogClient.Entry> entries) {
			this.ledger.setRetention(LogBackedClaims.this.memoryMillis.getAsLong());
			for (LogClient.Entry entry : entries) {
				this.ledger.fold(entry.offset(), entry.appendedAtMillis(), ClaimRecord.decode(entry.content()));
			}
		}

		private void finished(boolean succeeded) {
			this.loaded |= succeeded;
			if (succeeded) {
				this.busy = false;
				step();
			}
			else {
				LogBackedClaims.this.scheduler.schedule(RETRY_MILLIS, () -> {
					this.busy = false;
					step();
				});
			}
		}

	}

}
