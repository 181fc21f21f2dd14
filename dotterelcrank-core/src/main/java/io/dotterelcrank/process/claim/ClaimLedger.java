package io.dotterelcrank.process.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Folds the claim records of one partition, in order of their offsets. Invariants: a key
 * has at most one holder at any offset; a claim once released or lost never holds its key
 * later; the first claim on a free key wins; a key becomes free by its holder's release,
 * or when no claim on it has been appended for the memory time.
 * <p>
 * A reader that starts after records have expired cannot know who held a key before. What
 * it sees during its first memory time is therefore uncertain: such a holder keeps its
 * key whatever is released, until the memory time has passed without a claim. So a key
 * that is free for any reader is free for a reader that has seen every record. Not
 * thread-safe.
 */
public final class ClaimLedger {

	/** Holder of each key that is not free. */
	private final Map<ClaimKey, Holder> holders = new HashMap<>();

	/**
	 * Claims that were released, or lost, and may not win later, with the time of the
	 * last such record.
	 */
	private final Map<String, Long> spent = new HashMap<>();

	/** Everything that expires, oldest first. */
	private final Deque<Expiry> expiries = new ArrayDeque<>();

	/** How long a claim is remembered, in milliseconds of the log's clock. */
	private long memoryMillis;

	/** Offset of the last record folded. */
	private long through;

	/** Append time of the last record folded, by the log's clock. */
	private long nowMillis;

	/** Append time from which on holders are certain, by the log's clock. */
	private long certainFromMillis = Long.MIN_VALUE;

	private ClaimLedger(long memoryMillis) {
		this.memoryMillis = memoryMillis;
	}

	/**
	 * Creates an empty ledger.
	 * @param memoryMillis how long a claim is remembered, in milliseconds of the log's
	 * clock
	 * @return a new ledger
	 */
	public static ClaimLedger create(long memoryMillis) {
		return new ClaimLedger(memoryMillis);
	}

	/**
	 * Changes how long a claim is remembered.
	 * @param millis time in milliseconds of the log's clock
	 */
	public void setRetention(long millis) {
		this.memoryMillis = millis;
	}

	/**
	 * Folds one log record.
	 * @param offset its offset
	 * @param appendedAtMillis when it was appended, by the log's clock
	 * @param group its content
	 */
	public void fold(long offset, long appendedAtMillis, List<ClaimRecord> group) {
		if (offset <= this.through) {
			return;
		}
		boolean expiredBefore = this.through == 0 && offset > 1;
		if (expiredBefore) {
			this.certainFromMillis = appendedAtMillis + this.memoryMillis;
		}
		this.through = offset;
		this.nowMillis = appendedAtMillis;
		expire();
		for (ClaimRecord entry : group) {
			if (entry instanceof ClaimRecord.Claim claim) {
				foldClaim(offset, appendedAtMillis, claim);
			}
			else if (entry instanceof ClaimRecord.Release release) {
				foldRelease(appendedAtMillis, release);
			}
			else if (entry instanceof ClaimRecord.Done done) {
				foldDone(done);
			}
		}
	}

	private void foldClaim(long offset, long appendedAtMillis, ClaimRecord.Claim claim) {
		if (this.spent.containsKey(claim.claimId())) {
			return;
		}
		Holder holder = current(claim.key());
		if (holder == null) {
			boolean certain = appendedAtMillis >= this.certainFromMillis;
			this.holders.put(claim.key(), new Holder(claim, offset, appendedAtMillis, false, certain));
			this.expiries.add(new Expiry(appendedAtMillis, claim.key(), claim.claimId()));
			return;
		}
		this.holders.put(claim.key(), holder.withLastClaim(appendedAtMillis));
		if (!holder.claim().claimId().equals(claim.claimId())) {
			spend(appendedAtMillis, claim.key(), claim.claimId());
		}
	}

	private void foldRelease(long appendedAtMillis, ClaimRecord.Release release) {
		Holder holder = current(release.key());
		boolean holds = holder != null && holder.claim().claimId().equals(release.claimId());
		if (holds && holder.done()) {
			return;
		}
		if (holds && holder.certain()) {
			this.holders.remove(release.key());
		}
		spend(appendedAtMillis, release.key(), release.claimId());
	}

	private void foldDone(ClaimRecord.Done done) {
		this.holders.computeIfPresent(done.key(),
				(key, holder) -> holder.claim().claimId().equals(done.claimId()) ? holder.whenDone() : holder);
	}

	private void spend(long appendedAtMillis, ClaimKey key, String claimId) {
		this.spent.put(claimId, appendedAtMillis);
		this.expiries.add(new Expiry(appendedAtMillis, key, claimId));
	}

	private void expire() {
		while (!this.expiries.isEmpty() && old(this.expiries.peek().appendedAtMillis())) {
			Expiry expiry = this.expiries.remove();
			this.spent.computeIfPresent(expiry.claimId(), (id, millis) -> old(millis) ? null : millis);
			Holder holder = this.holders.get(expiry.key());
			boolean holds = holder != null && holder.claim().claimId().equals(expiry.claimId());
			if (holds && old(holder.lastClaimMillis())) {
				this.holders.remove(expiry.key());
			}
			else if (holds) {
				this.expiries.add(new Expiry(this.nowMillis, expiry.key(), expiry.claimId()));
			}
		}
	}

	private boolean old(long millis) {
		return millis + this.memoryMillis < this.nowMillis;
	}

	/**
	 * Finds the holder of a key, unless it has expired and waits to be forgotten.
	 * @param key the key
	 * @return the holder, or {@code null} if the key is free
	 */
	private Holder current(ClaimKey key) {
		Holder holder = this.holders.get(key);
		return (holder != null && !old(holder.lastClaimMillis())) ? holder : null;
	}

	/**
	 * Finds the holder of a key.
	 * @param key the key
	 * @return the holder, or nothing if the key is free
	 */
	public Optional<Holder> holder(ClaimKey key) {
		return Optional.ofNullable(current(key));
	}

	/**
	 * Returns the offset to read next.
	 * @return one more than the last offset folded
	 */
	public long nextOffset() {
		return this.through + 1;
	}

	/**
	 * Returns the number of keys held.
	 * @return number of keys that are not free
	 */
	public int size() {
		return this.holders.size();
	}

	/**
	 * Holder of a key. Immutable.
	 *
	 * @param claim the claim that won
	 * @param offset its offset
	 * @param lastClaimMillis when a claim on the key was last appended, by the log's
	 * clock
	 * @param done whether the call ran to its end
	 * @param certain whether no earlier claim, expired by now, can hold the key
	 */
	public record Holder(ClaimRecord.Claim claim, long offset, long lastClaimMillis, boolean done, boolean certain) {

		private Holder withLastClaim(long millis) {
			return new Holder(this.claim, this.offset, millis, this.done, this.certain);
		}

		private Holder whenDone() {
			return new Holder(this.claim, this.offset, this.lastClaimMillis, true, this.certain);
		}

	}

	/**
	 * Something to forget. Immutable.
	 *
	 * @param appendedAtMillis append time, by the log's clock
	 * @param key the key
	 * @param claimId id of the claim
	 */
	private record Expiry(long appendedAtMillis, ClaimKey key, String claimId) {
	}

}
