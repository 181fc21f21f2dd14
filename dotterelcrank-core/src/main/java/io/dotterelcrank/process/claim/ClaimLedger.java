package io.dotterelcrank.process.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Folds the claim records of one partition, in order of their offsets. Invariants: a key
 * has at most one holder at any offset; a claim once released never holds its key again;
 * the first claim on a free key wins. Not thread-safe.
 */
public final class ClaimLedger {

	/** Holder of each key that is not free. */
	private final Map<ClaimKey, Holder> holders = new HashMap<>();

	/** Claims that were released, or lost, and may not win later. */
	private final Set<String> spent = new HashSet<>();

	/** Everything that expires, oldest first. */
	private final Deque<Expiry> expiries = new ArrayDeque<>();

	/** How long a claim is remembered, in milliseconds of the log's clock. */
	private long memoryMillis;

	/** Offset of the last record folded. */
	private long through;

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
	public void remember(long millis) {
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
		this.through = offset;
		expire(appendedAtMillis);
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
		if (this.spent.contains(claim.claimId())) {
			return;
		}
		Holder holder = this.holders.get(claim.key());
		if (holder == null) {
			this.holders.put(claim.key(), new Holder(claim, offset, false));
			this.expiries.add(new Expiry(appendedAtMillis, claim.key(), claim.claimId()));
		}
		else if (!holder.claim().claimId().equals(claim.claimId())) {
			spend(appendedAtMillis, claim.key(), claim.claimId());
		}
	}

	private void foldRelease(long appendedAtMillis, ClaimRecord.Release release) {
		Holder holder = this.holders.get(release.key());
		boolean holds = holder != null && holder.claim().claimId().equals(release.claimId()) && !holder.done();
		if (holds) {
			this.holders.remove(release.key());
		}
		if (holds || holder == null) {
			spend(appendedAtMillis, release.key(), release.claimId());
		}
	}

	private void foldDone(ClaimRecord.Done done) {
		this.holders.computeIfPresent(done.key(), (key, holder) -> holder.claim().claimId().equals(done.claimId())
				? new Holder(holder.claim(), holder.offset(), true) : holder);
	}

	private void spend(long appendedAtMillis, ClaimKey key, String claimId) {
		if (this.spent.add(claimId)) {
			this.expiries.add(new Expiry(appendedAtMillis, key, claimId));
		}
	}

	private void expire(long nowMillis) {
		while (!this.expiries.isEmpty() && this.expiries.peek().appendedAtMillis() + this.memoryMillis < nowMillis) {
			Expiry expiry = this.expiries.remove();
			this.spent.remove(expiry.claimId());
			Holder holder = this.holders.get(expiry.key());
			if (holder != null && holder.claim().claimId().equals(expiry.claimId())) {
				this.holders.remove(expiry.key());
			}
		}
	}

	/**
	 * Finds the holder of a key.
	 * @param key the key
	 * @return the holder, or nothing if the key is free
	 */
	public Optional<Holder> holder(ClaimKey key) {
		return Optional.ofNullable(this.holders.get(key));
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
	 * @param done whether the call ran to its end
	 */
	public record Holder(ClaimRecord.Claim claim, long offset, boolean done) {
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
