package io.dotterelcrank.version;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Applies the records of the configuration stream, in order of their offsets, to the
 * configuration in force. Deterministic: every process that applies the same records
 * reaches the same decisions. Invariants: the version never decreases; a proposal is
 * decided once; nothing is decided while earlier records are missing. Not thread-safe.
 */
public final class ConfigurationStateMachine {

	/** Number of recent proposals of which repetitions are detected. */
	static final int MAX_RECENT_IDS = 256;

	/** Maximum number of proposals kept while waiting for a snapshot. */
	static final int MAX_PENDING_PROPOSALS = 4_096;

	private Configuration configuration = Configuration.INITIAL;

	/** Offset of the last record applied; 0 before the first. */
	private long appliedOffset;

	/** Ids of the last proposals decided, oldest first. */
	private final Deque<String> recentIds = new ArrayDeque<>();

	/** Whether records are missing, so that nothing is decided until a snapshot. */
	private boolean waitingForSnapshot;

	/** First offset after the missing records. */
	private long firstOffsetAfterGap;

	/** Last offset received; read only while waiting for a snapshot. */
	private long lastSeenOffset;

	/** Proposals received while waiting for a snapshot. */
	private final Deque<Pending> pendingProposals = new ArrayDeque<>();

	private ConfigurationStateMachine() {
	}

	/**
	 * Creates a state machine with the initial configuration.
	 * @return a new state machine that expects the record at offset 1 first
	 */
	public static ConfigurationStateMachine create() {
		return new ConfigurationStateMachine();
	}

	/**
	 * Applies a record. Records with offsets already applied are ignored.
	 * @param offset offset of the record
	 * @param configurationRecord proposal or snapshot
	 * @return decisions on the proposals that this record decides; several after a
	 * snapshot
	 */
	public List<Decision> apply(long offset, ConfigurationRecord configurationRecord) {
		long expectedOffset = (this.waitingForSnapshot ? this.lastSeenOffset : this.appliedOffset) + 1;
		if (offset < expectedOffset) {
			return List.of();
		}
		if (offset > expectedOffset) {
			startWaitingForSnapshot(offset);
		}
		this.lastSeenOffset = offset;
		if (this.waitingForSnapshot) {
			return applyWhileWaiting(offset, configurationRecord);
		}
		this.appliedOffset = offset;
		if (configurationRecord instanceof ConfigurationRecord.Proposal proposal) {
			return decide(offset, proposal).map(List::of).orElse(List.of());
		}
		return List.of();
	}

	/**
	 * Skips a record that cannot be decoded. It counts as applied, since every process
	 * skips it.
	 * @param offset offset of the malformed record
	 */
	public void skip(long offset) {
		if (!this.waitingForSnapshot && offset == this.appliedOffset + 1) {
			this.appliedOffset = offset;
		}
		else if (offset > (this.waitingForSnapshot ? this.lastSeenOffset : this.appliedOffset)) {
			if (offset > (this.waitingForSnapshot ? this.lastSeenOffset : this.appliedOffset) + 1) {
				startWaitingForSnapshot(offset);
			}
			this.lastSeenOffset = offset;
		}
	}

	private void startWaitingForSnapshot(long offset) {
		this.waitingForSnapshot = true;
		this.firstOffsetAfterGap = offset;
		this.pendingProposals.clear();
	}

	private List<Decision> applyWhileWaiting(long offset, ConfigurationRecord configurationRecord) {
		if (configurationRecord instanceof ConfigurationRecord.Proposal proposal) {
			this.pendingProposals.add(new Pending(offset, proposal));
			if (this.pendingProposals.size() > MAX_PENDING_PROPOSALS) {
				this.firstOffsetAfterGap = this.pendingProposals.remove().offset + 1;
			}
			return List.of();
		}
		ConfigurationRecord.Snapshot snapshot = (ConfigurationRecord.Snapshot) configurationRecord;
		boolean coversGap = snapshot.through() + 1 >= this.firstOffsetAfterGap && snapshot.through() < offset;
		if (!coversGap || snapshot.configuration().version() < this.configuration.version()) {
			return List.of();
		}
		return restore(offset, snapshot);
	}

	private List<Decision> restore(long offset, ConfigurationRecord.Snapshot snapshot) {
		this.waitingForSnapshot = false;
		this.configuration = snapshot.configuration();
		this.appliedOffset = snapshot.through();
		this.recentIds.clear();
		this.recentIds.addAll(snapshot.recentIds());
		List<Decision> decisions = new ArrayList<>();
		for (Pending pending : this.pendingProposals) {
			if (pending.offset > this.appliedOffset) {
				decide(pending.offset, pending.proposal).ifPresent(decisions::add);
			}
		}
		this.pendingProposals.clear();
		this.appliedOffset = offset;
		return decisions;
	}

	private Optional<Decision> decide(long offset, ConfigurationRecord.Proposal proposal) {
		if (this.recentIds.contains(proposal.id())) {
			return Optional.empty();
		}
		rememberId(proposal.id());
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

	private void rememberId(String id) {
		this.recentIds.add(id);
		if (this.recentIds.size() > MAX_RECENT_IDS) {
			this.recentIds.remove();
		}
	}

	/**
	 * Applies changes to a configuration without a log.
	 * @param configuration configuration to start from
	 * @param changes the changes, in order
	 * @param offset offset to assume for the changes
	 * @return the result of the valid changes, and the errors of the others
	 */
	public static Preview preview(Configuration configuration, List<Change> changes, long offset) {
		List<String> errors = new ArrayList<>();
		Configuration result = configuration;
		if (changes == null || changes.isEmpty()) {
			errors.add("no change given");
			return new Preview(result, errors);
		}
		for (Change change : changes) {
			Optional<String> error = (change != null) ? change.validationError(result)
					: Optional.of("a change is empty");
			error.ifPresent(errors::add);
			if (error.isEmpty()) {
				result = change.apply(result, offset);
			}
		}
		return new Preview(result, List.copyOf(errors));
	}

	/**
	 * Returns the configuration after the last record applied.
	 * @return the configuration in force, unless records are missing
	 */
	public Configuration configuration() {
		return this.configuration;
	}

	/**
	 * Returns the offset to read next.
	 * @return one more than the last offset received
	 */
	public long nextOffset() {
		return (this.waitingForSnapshot ? this.lastSeenOffset : this.appliedOffset) + 1;
	}

	/**
	 * Returns whether no records are missing up to the last one received.
	 * @return {@code false} while waiting for a snapshot that covers missing records
	 */
	public boolean gapFree() {
		return !this.waitingForSnapshot;
	}

	/**
	 * Returns a snapshot of the current state.
	 * @return record from which another state machine can start
	 */
	public ConfigurationRecord.Snapshot snapshot() {
		return new ConfigurationRecord.Snapshot(this.appliedOffset, this.configuration, List.copyOf(this.recentIds));
	}

	/**
	 * Decision on a proposal. Immutable.
	 *
	 * @param proposal proposal that was decided
	 * @param offset offset of the proposal
	 * @param accepted whether the proposal came into force
	 * @param explanation human-readable reason
	 */
	public record Decision(ConfigurationRecord.Proposal proposal, long offset, boolean accepted, String explanation) {
	}

	/**
	 * Result of applying changes without a log. Immutable.
	 *
	 * @param result configuration with the valid changes applied
	 * @param faults errors of the invalid changes; empty if all are valid
	 */
	public record Preview(Configuration result, List<String> faults) {
	}

	/**
	 * Proposal that is decided after the next snapshot. Immutable.
	 *
	 * @param offset offset of the proposal
	 * @param proposal proposal to decide
	 */
	private record Pending(long offset, ConfigurationRecord.Proposal proposal) {
	}

}
