package io.dotterelcrank.version;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Folds the records of the configuration stream, in order of their offsets, into the
 * configuration in force. Deterministic: every process that folds the same records
 * decides the same. Invariants: the version never falls; a proposal is decided once;
 * nothing is decided while records before it are missing. Not thread-safe.
 */
public final class ConfigurationStateMachine {

	/** Number of decided proposals whose ids are remembered against repetition. */
	static final int REMEMBERED_IDS = 256;

	/** Largest number of undecided records kept while waiting for a snapshot. */
	static final int MOST_UNDECIDED = 4_096;

	/** Configuration after the last folded record. */
	private Configuration configuration = Configuration.INITIAL;

	/** Last offset folded, or the last offset before the first record. */
	private long through;

	/** Ids of the latest proposals decided, oldest first. */
	private final Deque<String> recentIds = new ArrayDeque<>();

	/** Whether records are missing, so that only a snapshot helps. */
	private boolean waiting;

	/** First offset seen since records went missing. */
	private long firstAfterGap;

	/** Last offset seen while waiting. */
	private long seen;

	/** Proposals seen while waiting. */
	private final Deque<Pending> undecided = new ArrayDeque<>();

	private ConfigurationStateMachine() {
	}

	/**
	 * Creates a fold that has seen nothing.
	 * @return a new fold whose first record is the one at offset 1
	 */
	public static ConfigurationStateMachine create() {
		return new ConfigurationStateMachine();
	}

	/**
	 * Folds one record.
	 * @param offset offset of the record, larger than all before
	 * @param entry the record
	 * @return what the fold said to the proposals that this record decides
	 */
	public List<Decision> apply(long offset, ConfigurationRecord entry) {
		long expected = (this.waiting ? this.seen : this.through) + 1;
		if (offset < expected) {
			return List.of();
		}
		if (offset > expected) {
			startWaiting(offset);
		}
		this.seen = offset;
		if (this.waiting) {
			return foldWaiting(offset, entry);
		}
		this.through = offset;
		if (entry instanceof ConfigurationRecord.Proposal proposal) {
			return decide(offset, proposal).map(List::of).orElse(List.of());
		}
		return List.of();
	}

	/**
	 * Passes over a record that cannot be read. It counts as folded, since every process
	 * passes over it in the same way.
	 * @param offset offset of the record
	 */
	public void skip(long offset) {
		if (!this.waiting && offset == this.through + 1) {
			this.through = offset;
		}
		else if (offset > (this.waiting ? this.seen : this.through)) {
			if (offset > (this.waiting ? this.seen : this.through) + 1) {
				startWaiting(offset);
			}
			this.seen = offset;
		}
	}

	private void startWaiting(long offset) {
		this.waiting = true;
		this.firstAfterGap = offset;
		this.undecided.clear();
	}

	private List<Decision> foldWaiting(long offset, ConfigurationRecord entry) {
		if (entry instanceof ConfigurationRecord.Proposal proposal) {
			this.undecided.add(new Pending(offset, proposal));
			if (this.undecided.size() > MOST_UNDECIDED) {
				this.firstAfterGap = this.undecided.remove().offset + 1;
			}
			return List.of();
		}
		ConfigurationRecord.Snapshot snapshot = (ConfigurationRecord.Snapshot) entry;
		boolean gapless = snapshot.through() + 1 >= this.firstAfterGap && snapshot.through() < offset;
		if (!gapless || snapshot.configuration().version() < this.configuration.version()) {
			return List.of();
		}
		return adopt(offset, snapshot);
	}

	private List<Decision> adopt(long offset, ConfigurationRecord.Snapshot snapshot) {
		this.waiting = false;
		this.configuration = snapshot.configuration();
		this.through = snapshot.through();
		this.recentIds.clear();
		this.recentIds.addAll(snapshot.recentIds());
		List<Decision> decisions = new ArrayList<>();
		for (Pending pending : this.undecided) {
			if (pending.offset > this.through) {
				decide(pending.offset, pending.proposal).ifPresent(decisions::add);
			}
		}
		this.undecided.clear();
		this.through = offset;
		return decisions;
	}

	private Optional<Decision> decide(long offset, ConfigurationRecord.Proposal proposal) {
		if (this.recentIds.contains(proposal.id())) {
			return Optional.empty();
		}
		remember(proposal.id());
		if (proposal.basedOn() != this.configuration.version()) {
			return Optional.of(new Decision(proposal, offset, false, "based on version " + proposal.basedOn()
					+ ", but version " + this.configuration.version() + " is in force"));
		}
		Preview preview = preview(this.configuration, proposal.changes(), offset);
		if (!preview.faults().isEmpty()) {
			return Optional.of(new Decision(proposal, offset, false, String.join("; ", preview.faults())));
		}
		this.configuration = preview.result().withVersion(offset);
		return Optional.of(new Decision(proposal, offset, true, "in force as version " + offset));
	}

	private void remember(String id) {
		this.recentIds.add(id);
		if (this.recentIds.size() > REMEMBERED_IDS) {
			this.recentIds.remove();
		}
	}

	/**
	 * Shows what changes would do, without a log.
	 * @param configuration configuration to start from
	 * @param changes the changes, in order
	 * @param offset offset that the changes would have
	 * @return the faults, and the configuration if there are none
	 */
	public static Preview preview(Configuration configuration, List<Change> changes, long offset) {
		List<String> faults = new ArrayList<>();
		Configuration result = configuration;
		if (changes == null || changes.isEmpty()) {
			faults.add("no change given");
			return new Preview(result, faults);
		}
		for (Change change : changes) {
			Optional<String> fault = (change != null) ? change.validationError(result)
					: Optional.of("a change is empty");
			fault.ifPresent(faults::add);
			if (fault.isEmpty()) {
				result = change.apply(result, offset);
			}
		}
		return new Preview(result, List.copyOf(faults));
	}

	/**
	 * Returns the configuration after the last folded record.
	 * @return the configuration in force as far as this fold knows
	 */
	public Configuration configuration() {
		return this.configuration;
	}

	/**
	 * Returns the offset to read next.
	 * @return one more than the last offset seen
	 */
	public long nextOffset() {
		return (this.waiting ? this.seen : this.through) + 1;
	}

	/**
	 * Tells whether the fold knows the configuration in force.
	 * @return {@code false} while records are missing and no snapshot has been seen
	 */
	public boolean caughtUp() {
		return !this.waiting;
	}

	/**
	 * Returns a snapshot of the fold.
	 * @return a record that lets another fold start here
	 */
	public ConfigurationRecord.Snapshot snapshot() {
		return new ConfigurationRecord.Snapshot(this.through, this.configuration, List.copyOf(this.recentIds));
	}

	/**
	 * What the fold said to a proposal. Immutable.
	 *
	 * @param proposal the proposal
	 * @param offset its offset
	 * @param accepted whether it is in force
	 * @param explanation why, for people
	 */
	public record Decision(ConfigurationRecord.Proposal proposal, long offset, boolean accepted, String explanation) {
	}

	/**
	 * What changes would do. Immutable.
	 *
	 * @param result configuration with the valid changes applied
	 * @param faults what is wrong; empty if all changes are valid
	 */
	public record Preview(Configuration result, List<String> faults) {
	}

	/**
	 * A proposal that waits for a snapshot. Immutable.
	 *
	 * @param offset its offset
	 * @param proposal the proposal
	 */
	private record Pending(long offset, ConfigurationRecord.Proposal proposal) {
	}

}
