package io.dotterelcrank.process.replica;

import java.util.List;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.connection.KeyedRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link KeyedTable}.
 */
class KeyedTableTests {

	private final KeyedTable table = KeyedTable.empty();

	private static KeyedRecord record(String key, long offset) {
		return new KeyedRecord(key, offset, new byte[] { 1 });
	}

	private static KeyedRecord tombstone(String key, long offset) {
		return new KeyedRecord(key, offset, null);
	}

	@Test
	void recordWithLargerOffsetReplacesEarlierOne() {
		assertThat(this.table.apply(List.of(record("a", 1)), 2)).hasSize(1);
		assertThat(this.table.apply(List.of(record("a", 5)), 6)).hasSize(1);
		assertThat(this.table.since(0)).extracting(KeyedRecord::offset).containsExactly(5L);
		assertThat(this.table.nextOffset()).isEqualTo(6);
	}

	@Test
	void recordsWithSmallerOffsetsChangeNothing() {
		this.table.apply(List.of(record("a", 5), tombstone("b", 6)), 7);
		assertThat(this.table.apply(List.of(record("a", 1), record("b", 2)), 3)).isEmpty();
		assertThat(this.table.nextOffset()).isEqualTo(7);
		assertThat(this.table.since(6)).extracting(KeyedRecord::deleted).containsExactly(true);
	}

	@Test
	void keyMissingFromListingIsDeleted() {
		this.table.apply(List.of(record("a", 1), record("b", 2)), 3);
		List<KeyedRecord> changes = this.table.applyListing(List.of(record("a", 1)), 10, 0);
		assertThat(changes).extracting(KeyedRecord::key).containsExactly("b");
		assertThat(changes.get(0).deleted()).isTrue();
	}

	/**
	 * The tombstone of an earlier deletion hid that the key was written and deleted
	 * since.
	 */
	@Test
	void keyThatIsDeletedAgainWhileTheSenderDidNotReadIsDeleted() {
		KeyedTable sender = KeyedTable.empty();
		sender.apply(List.of(record("a", 0), tombstone("a", 1), record("b", 2)), 3);
		this.table.apply(List.of(record("a", 0), tombstone("a", 1), record("b", 2), record("a", 3)), 4);
		sender.applyListing(List.of(record("b", 2)), 5, 0);
		KeyedTable.Update update = sender.updateSince(this.table.epoch(), this.table.nextOffset());
		assertThat(this.table.apply(update, sender.nextOffset())).extracting(KeyedRecord::key).containsExactly("a");
		assertThat(this.table.find("a")).isEmpty();
	}

	@Test
	void staleListingDoesNotDeleteNewerRecords() {
		this.table.apply(List.of(record("a", 1), record("b", 9)), 10);
		assertThat(this.table.applyListing(List.of(record("a", 1)), 5, 0)).isEmpty();
	}

	@Test
	void listedRecordBeyondNextOffsetIsKept() {
		this.table.applyListing(List.of(record("a", 12)), 10, 0);
		assertThat(this.table.applyListing(List.of(record("a", 12)), 10, 0)).isEmpty();
		assertThat(this.table.since(0)).hasSize(1);
	}

	/** A host that had been paused pushed a record that was deleted meanwhile. */
	@Test
	void recordFromBeforeTheListingDoesNotBringADeletedKeyBack() {
		this.table.applyListing(List.of(record("b", 2)), 4, 0);
		assertThat(this.table.apply(new KeyedTable.Update(1, List.of(record("a", 1)), 0), 2)).isEmpty();
		assertThat(this.table.apply(new KeyedTable.Update(4, List.of(record("a", 4)), 0), 5)).hasSize(1);
	}

	@Test
	void oldestTombstonesAreDiscardedFirst() {
		for (int i = 0; i < KeyedTable.MAX_TOMBSTONES + 10; i++) {
			this.table.apply(List.of(tombstone("k" + i, i)), i + 1);
		}
		List<KeyedRecord> records = this.table.since(0);
		assertThat(records).hasSizeLessThanOrEqualTo(KeyedTable.MAX_TOMBSTONES);
		assertThat(records.get(records.size() - 1).key()).isEqualTo("k" + (KeyedTable.MAX_TOMBSTONES + 9));
	}

	@Test
	void tableThatWasListedSendsAllRecordsToOneThatIsBehind() {
		this.table.applyListing(List.of(record("a", 1)), 10, 0);
		KeyedTable behind = KeyedTable.empty();
		behind.apply(List.of(record("a", 1), record("b", 2)), 3);
		KeyedTable.Update update = this.table.updateSince(0, behind.nextOffset());
		assertThat(update.fromOffset()).isZero();
		assertThat(behind.apply(update, this.table.nextOffset())).extracting(KeyedRecord::key).containsExactly("b");
		assertThat(this.table.updateSince(0, behind.nextOffset())).isEqualTo(new KeyedTable.Update(10, List.of(), 0));
	}

	@Test
	void discardedTombstonesAreNotMissedByTablesBehind() {
		KeyedTable behind = KeyedTable.empty();
		behind.apply(List.of(record("k0", 0)), 1);
		this.table.apply(List.of(record("k0", 0)), 1);
		for (int i = 0; i < KeyedTable.MAX_TOMBSTONES + 10; i++) {
			this.table.apply(List.of(tombstone("k" + i, i + 1)), i + 2);
		}
		behind.apply(this.table.updateSince(0, behind.nextOffset()), this.table.nextOffset());
		assertThat(behind.since(0)).filteredOn((record) -> record.key().equals("k0") && !record.deleted()).isEmpty();
	}

	@Test
	void updateAfterMissingRecordsIsIgnored() {
		assertThat(this.table.apply(new KeyedTable.Update(5, List.of(record("a", 6)), 0), 7)).isEmpty();
		assertThat(this.table.nextOffset()).isZero();
	}

	/** Their smaller offsets made them look old until the table had grown again. */
	@Test
	void recordsOfANewEpochReplaceThoseBeforeWhateverTheirOffsets() {
		this.table.applyListing(List.of(record("config", 80)), 90, 1);
		assertThat(this.table.applyListing(List.of(record("config", 60)), 61, 2)).extracting(KeyedRecord::offset)
			.containsExactly(60L);
		assertThat(this.table.nextOffset()).isEqualTo(61);
		assertThat(this.table.apply(List.of(record("config", 61), record("new", 62)), 63)).hasSize(2);
		assertThat(this.table.epoch()).isEqualTo(2);
	}

	@Test
	void keyMissingInANewEpochIsRetainedUntilItIsDiscarded() {
		this.table.applyListing(List.of(record("a", 1), record("b", 2), record("c", 3)), 4, 1);
		assertThat(this.table.applyListing(List.of(record("a", 1)), 2, 2)).extracting(KeyedRecord::key)
			.containsExactly("a");
		assertThat(this.table.retainedKeys()).containsExactly("b", "c");
		this.table.apply(List.of(record("b", 2)), 3);
		List<KeyedRecord> deletions = this.table.discardRetained();
		assertThat(deletions).extracting(KeyedRecord::key).containsExactly("c");
		assertThat(deletions.get(0).deleted()).isTrue();
		assertThat(this.table.retainedKeys()).isEmpty();
	}

	@Test
	void keyIsRetainedThroughTwoNewEpochsInARow() {
		this.table.applyListing(List.of(record("a", 1), record("b", 2)), 3, 1);
		this.table.applyListing(List.of(record("a", 1)), 2, 2);
		this.table.applyListing(List.of(), 0, 3);
		assertThat(this.table.retainedKeys()).containsExactly("a", "b");
	}

	@Test
	void recordsOfAnEarlierEpochChangeNothing() {
		this.table.applyListing(List.of(record("a", 3)), 4, 2);
		assertThat(this.table.applyListing(List.of(record("a", 7)), 8, 1)).isEmpty();
		assertThat(this.table.apply(new KeyedTable.Update(0, List.of(record("a", 7)), 1), 8)).isEmpty();
		assertThat(this.table.apply(new KeyedTable.Update(4, List.of(record("a", 7)), 1), 8)).isEmpty();
		assertThat(this.table.nextOffset()).isEqualTo(4);
	}

	@Test
	void tableOfAnEarlierEpochGetsAllRecordsAndAcceptsNoOthers() {
		this.table.applyListing(List.of(record("a", 3)), 4, 2);
		KeyedTable behind = KeyedTable.empty();
		behind.applyListing(List.of(record("a", 7)), 8, 1);
		assertThat(behind.apply(new KeyedTable.Update(4, List.of(record("a", 4)), 2), 5)).isEmpty();
		KeyedTable.Update update = this.table.updateSince(behind.epoch(), behind.nextOffset());
		assertThat(update.fromOffset()).isZero();
		assertThat(behind.apply(update, this.table.nextOffset())).extracting(KeyedRecord::offset).containsExactly(3L);
		assertThat(behind.epoch()).isEqualTo(2);
	}

}
