package io.dotterelcrank.process.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * State machine over the claim records of one partition, applied in order of their
 * offsets. Invariants: a key has at most one holder at any offset; a claim that was
 * released or lost never holds its key later; the first claim on a free key wins; a key
 * becomes free when its holder releases it, or when no claim on it has been appended for
 * the retention time.
 * <p>
 * A reader that starts after records have expired cannot know who held a key before.
 * Holders that it sees during its first retention time are therefore uncertain: an
 * uncertain holder keeps its key in spite of a release, until the retention time has
 * passed without a claim. So a key that is free for any reader is free for a reader that
 * has seen every record. Not thread-safe.
 */
public final class ClaimLedger {

	private final Map<ClaimKey, Holder> holders = new HashMap<>();

	/**
	 * Released or lost claims, which may not win later, with the append time of the last
	 * record that barred them.
	 */
	private final Map<String, Long> barredClaims = new HashMap<>();

	/** Pending expiries of holders and barred claims, oldest first. */
	private final Deque<Expiry> expiries = new ArrayDeque<>();

	/** Retention time of a claim, in milliseconds of the log's clock. */
	private long retentionMillis;

	/** Offset of the last record applied; 0 if there is none. */
	private long lastOffset;

	/** Append time of the last record applied, by the log's clock. */
	private long nowMillis;

	/** Append time from which on holders are certain, by the log's clock. */
	private long certainFromMillis = Long.MIN_VALUE;

	private ClaimLedger(long retentionMillis) {
		this.retentionMillis = retentionMillis;
	}

	/**
	 * Creates an empty ledger.
	 * @param retentionMillis retention time of a claim, in milliseconds of the log's
	 * clock
	 * @return a ledger that has applied no record
	 */
	public static ClaimLedger create(long retentionMillis) {
		return new ClaimLedger(retentionMillis);
	}

	/**
	 * Sets the retention time of claims.
	 * @param millis retention time, in milliseconds of the log's clock
	 */
	public void setRetention(long millis) {
		this.retentionMillis = millis;
	}

	/**
	 * Applies one log record, unless it has been applied before.
	 * @param offset its offset
	 * @param appendedAtMillis when it was appended, by the log's clock
	 * @param claimRecords its decoded content
	 */
	public void applyLogRecord(long offset, long appendedAtMillis, List<ClaimRecord> claimRecords) {
		if (offset <= this.lastOffset) {
			return;
		}
		boolean earlierRecordsExpired = this.lastOffset == 0 && offset > 1;
		if (earlierRecordsExpired) {
			this.certainFromMillis = appendedAtMillis + this.retentionMillis;
		}
		this.lastOffset = offset;
		this.nowMillis = appendedAtMillis;
		removeExpired();
		for (ClaimRecord claimRecord : claimRecords) {
			if (claimRecord instanceof ClaimRecord.Claim claim) {
				applyClaim(offset, appendedAtMillis, claim);
			}
			else if (claimRecord instanceof ClaimRecord.Release release) {
				applyRelease(appendedAtMillis, release);
			}
			else if (claimRecord instanceof ClaimRecord.Done done) {
				applyDone(done);
			}
		}
	}

	private void applyClaim(long offset, long appendedAtMillis, ClaimRecord.Claim claim) {
		if (this.barredClaims.containsKey(claim.claimId())) {
			return;
		}
		Holder holder = currentHolder(claim.key());
		if (holder == null) {
			boolean certain = appendedAtMillis >= this.certainFromMillis;
			this.holders.put(claim.key(), new Holder(claim, offset, appendedAtMillis, false, certain));
			this.expiries.add(new Expiry(appendedAtMillis, claim.key(), claim.claimId()));
			return;
		}
		this.holders.put(claim.key(), holder.withLastClaim(appendedAtMillis));
		if (!holder.claim().claimId().equals(claim.claimId())) {
			barClaim(appendedAtMillis, claim.key(), claim.claimId());
		}
	}

	private void applyRelease(long appendedAtMillis, ClaimRecord.Release release) {
		Holder holder = currentHolder(release.key());
		boolean holds = holder != null && holder.claim().claimId().equals(release.claimId());
		if (holds && holder.done()) {
			return;
		}
		if (holds && holder.certain()) {
			this.holders.remove(release.key());
		}
		barClaim(appendedAtMillis, release.key(), release.claimId());
	}

	private void applyDone(ClaimRecord.Done done) {
		this.holders.computeIfPresent(done.key(),
				(key, holder) -> holder.claim().claimId().equals(done.claimId()) ? holder.withDone() : holder);
	}

	private void barClaim(long appendedAtMillis, ClaimKey key, String claimId) {
		this.barredClaims.put(claimId, appendedAtMillis);
		this.expiries.add(new Expiry(appendedAtMillis, key, claimId));
	}

	private void removeExpired() {
		while (!this.expiries.isEmpty() && expired(this.expiries.peek().appendedAtMillis())) {
			Expiry expiry = this.expiries.remove();
			this.barredClaims.computeIfPresent(expiry.claimId(), (id, millis) -> expired(millis) ? null : millis);
			Holder holder = this.holders.get(expiry.key());
			boolean holds = holder != null && holder.claim().claimId().equals(expiry.claimId());
			if (holds && expired(holder.lastClaimMillis())) {
				this.holders.remove(expiry.key());
			}
			else if (holds) {
				this.expiries.add(new Expiry(this.nowMillis, expiry.key(), expiry.claimId()));
			}
		}
	}

	private boolean expired(long millis) {
		return millis + this.retentionMillis < this.nowMillis;
	}

	/**
	 * Returns the holder of a key, unless it has expired and is still to be removed.
	 * @param key the key
	 * @return the holder, or {@code null} if the key is free
	 */
	private Holder currentHolder(ClaimKey key) {
		Holder holder = this.holders.get(key);
		return (holder != null && !expired(holder.lastClaimMillis())) ? holder : null;
	}

	/**
	 * Returns the holder of a key.
	 * @param key the key
	 * @return the holder; empty if the key is free
	 */
	public Optional<Holder> holder(ClaimKey key) {
		return Optional.ofNullable(currentHolder(key));
	}

	/**
	 * Returns the offset to read next.
	 * @return one more than the last offset applied
	 */
	public long nextOffset() {
		return this.lastOffset + 1;
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
	 * @param offset offset of the log record with that claim
	 * @param lastClaimMillis when a claim on the key was last appended, by the log's
	 * clock
	 * @param done whether the call completed
	 * @param certain whether no earlier claim, expired by now, can hold the key
	 */
	public record Holder(ClaimRecord.Claim claim, long offset, long lastClaimMillis, boolean done, boolean certain) {

		private Holder withLastClaim(long millis) {
			return new Holder(this.claim, this.offset, millis, this.done, this.certain);
		}

		private Holder withDone() {
			return new Holder(this.claim, this.offset, this.lastClaimMillis, true, this.certain);
		}

	}

	/**
	 * Key and claim whose retention ends. Immutable.
	 *
	 * @param appendedAtMillis append time, by the log's clock
	 * @param key the key
	 * @param claimId id of the claim
	 */
	private record Expiry(long appendedAtMillis, ClaimKey key, String claimId) {
	}

}
