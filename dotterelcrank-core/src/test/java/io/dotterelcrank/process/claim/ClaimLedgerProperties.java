package io.dotterelcrank.process.claim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property-based tests of {@link ClaimLedger} over random logs of claims, with one key
 * and few claim ids so that claims collide.
 */
class ClaimLedgerProperties {

	private static final ClaimKey KEY = new ClaimKey(1, 2);

	private static final long RETENTION_MILLIS = 1_000_000;

	@Property(tries = 4_000, seed = "41")
	void releasedOrLostClaimNeverHoldsKeyAgain(@ForAll @Size(max = 40) List<@IntRange(max = 199) Integer> draws) {
		ClaimLedger ledger = ClaimLedger.create(RETENTION_MILLIS);
		Set<String> releasedOrLost = new HashSet<>();
		long offset = 0;
		for (int draw : draws) {
			String claimId = "c" + draw % 10;
			Optional<String> before = holderId(ledger);
			ClaimRecord claimRecord = record(draw, claimId);
			ledger.applyLogRecord(++offset, offset, List.of(claimRecord));
			Optional<String> after = holderId(ledger);
			if (before.isPresent() && !before.equals(after)) {
				assertThat(claimRecord).isInstanceOf(ClaimRecord.Release.class);
				assertThat(claimRecord.claimId()).isEqualTo(before.get());
				releasedOrLost.add(before.get());
			}
			if (claimRecord instanceof ClaimRecord.Claim && before.isPresent() && !before.get().equals(claimId)) {
				releasedOrLost.add(claimId);
			}
			after.ifPresent((holder) -> assertThat(releasedOrLost).doesNotContain(holder));
		}
	}

	private static ClaimRecord record(int draw, String claimId) {
		return switch (draw / 10 % 4) {
			case 0 -> new ClaimRecord.Release(KEY, claimId);
			case 1 -> new ClaimRecord.Done(KEY, claimId);
			default -> new ClaimRecord.Claim(KEY, claimId, "digest", "target", 1);
		};
	}

	private static Optional<String> holderId(ClaimLedger ledger) {
		return ledger.holder(KEY).map((holder) -> holder.claim().claimId());
	}

	@Property(tries = 3_000, seed = "42")
	void keyFreeForLateReaderIsFreeForAll(@ForAll @Size(max = 70) List<@IntRange(max = 199) Integer> draws) {
		long retentionMillis = 6;
		ClaimLedger completeLedger = ClaimLedger.create(retentionMillis);
		List<TimedRecord> log = new ArrayList<>();
		long nowMillis = 0;
		for (int draw : draws) {
			nowMillis += draw % 8;
			log.add(new TimedRecord(nowMillis, record(draw, "c" + (log.size() - draw % 3))));
			completeLedger.applyLogRecord(log.size(), nowMillis, List.of(log.get(log.size() - 1).claimRecord()));
			ClaimLedger lateLedger = ClaimLedger.create(retentionMillis);
			Optional<String> lateHolderBefore = Optional.empty();
			for (int i = 0; i < log.size(); i++) {
				if (log.get(i).atMillis() >= nowMillis - 2 * retentionMillis) {
					lateHolderBefore = holderId(lateLedger);
					lateLedger.applyLogRecord(i + 1, log.get(i).atMillis(), List.of(log.get(i).claimRecord()));
				}
			}
			boolean lateWins = lateHolderBefore.isEmpty()
					&& lateLedger.holder(KEY).filter(ClaimLedger.Holder::certain).isPresent();
			if (lateWins) {
				assertThat(holderId(lateLedger)).as("winner at " + log).isEqualTo(holderId(completeLedger));
			}
		}
	}

	@Property(tries = 200, seed = "43")
	void anyContentIsDecodedWithoutFailure(@ForAll byte[] content) {
		assertThat(ClaimRecord.decode(content)).isNotNull();
	}

	/**
	 * A record with its append time.
	 *
	 * @param atMillis append time, by the log's clock
	 * @param claimRecord the only content of the log record
	 */
	private record TimedRecord(long atMillis, ClaimRecord claimRecord) {
	}

}
