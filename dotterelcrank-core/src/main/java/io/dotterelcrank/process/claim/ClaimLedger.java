package io.dotterelcrank.process.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * State machine over the claim records of one partition, applied in order of their
 * offsets. Invariants: a key has at most one holder at any offset; the first claim on a
 * free key wins; a claim that was released or lost is barred from holding its key for the
 * retention time; a key becomes free when its holder releases it, or when no claim on it
 * has been appended for the retention time, barred claims not counted.
 * <p>
 * A reader that starts after records have expired may have missed the claim that holds a
 * key. The first claim that it reads on that key may in fact have lost, so holders from
 * its first retention time are uncertain. Releasing an uncertain holder does not free the
 * key; only the retention time without a claim does. So a key that is free for any reader
 * is free for a reader that has seen every record. Not thread-safe.
 */
public final class ClaimLedger {

	private final Map<ClaimKey, Holder> holders = new HashMap<>();

	/**
	 * Released or lost claims, which cannot hold a key, by id, with the append time of
	 * the last record that barred them.
	 */
	private final Map<String, Long> barredClaims = new HashMap<>();

	/** Holders and barred claims to check for expiry, in order of append time. */
	private final Deque<ExpiryCheck> expiryChecks = new ArrayDeque<>();

	/** Retention time of a claim, in milliseconds of the log's clock. */
	private long retentionMillis;

	/** Offset of the last record applied; 0 if there is none. */
	private long lastOffset;

	/** Append time of the last record applied, by the log's clock. */
	private long nowMillis;

	/** Append time from which on a new holder is certain, by the log's clock. */
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
			this.expiryChecks.add(new ExpiryCheck(appendedAtMillis, claim.key(), claim.claimId()));
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
		this.expiryChecks.add(new ExpiryCheck(appendedAtMillis, key, claimId));
	}

	private void removeExpired() {
		while (!this.expiryChecks.isEmpty() && expired(this.expiryChecks.peek().appendedAtMillis())) {
			ExpiryCheck check = this.expiryChecks.remove();
			this.barredClaims.computeIfPresent(check.claimId(), (id, millis) -> expired(millis) ? null : millis);
			Holder holder = this.holders.get(check.key());
			boolean holds = holder != null && holder.claim().claimId().equals(check.claimId());
			if (holds && expired(holder.lastClaimMillis())) {
				this.holders.remove(check.key());
			}
			else if (holds) {
				this.expiryChecks.add(new ExpiryCheck(this.nowMillis, check.key(), check.claimId()));
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
	 * @return number of keys with a holder, including expired ones still to be removed
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
	 * @param certain {@code false} if a claim whose record expired unread may hold the
	 * key instead
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
	 * A holder or barred claim to check for expiry. Immutable.
	 *
	 * @param appendedAtMillis start of the retention time after which to check, by the
	 * log's clock
	 * @param key the key
	 * @param claimId id of the claim
	 */
	private record ExpiryCheck(long appendedAtMillis, ClaimKey key, String claimId) {
	}

}
