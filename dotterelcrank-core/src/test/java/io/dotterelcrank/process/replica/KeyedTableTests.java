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
		List<KeyedRecord> changes = this.table.applyListing(List.of(record("a", 1)), 10);
		assertThat(changes).extracting(KeyedRecord::key).containsExactly("b");
		assertThat(changes.get(0).deleted()).isTrue();
	}

	@Test
	void staleListingDoesNotDeleteNewerRecords() {
		this.table.apply(List.of(record("a", 1), record("b", 9)), 10);
		assertThat(this.table.applyListing(List.of(record("a", 1)), 5)).isEmpty();
	}

	@Test
	void listedRecordBeyondNextOffsetIsKept() {
		this.table.applyListing(List.of(record("a", 12)), 10);
		assertThat(this.table.applyListing(List.of(record("a", 12)), 10)).isEmpty();
		assertThat(this.table.since(0)).hasSize(1);
	}

	/** A host that had been paused pushed a record that was deleted meanwhile. */
	@Test
	void recordFromBeforeTheListingDoesNotBringADeletedKeyBack() {
		this.table.applyListing(List.of(record("b", 2)), 4);
		assertThat(this.table.apply(new KeyedTable.Update(1, List.of(record("a", 1))), 2)).isEmpty();
		assertThat(this.table.apply(new KeyedTable.Update(4, List.of(record("a", 4))), 5)).hasSize(1);
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
		this.table.applyListing(List.of(record("a", 1)), 10);
		KeyedTable behind = KeyedTable.empty();
		behind.apply(List.of(record("a", 1), record("b", 2)), 3);
		KeyedTable.Update update = this.table.updateSince(behind.nextOffset());
		assertThat(update.fromOffset()).isZero();
		assertThat(behind.apply(update, this.table.nextOffset())).extracting(KeyedRecord::key).containsExactly("b");
		assertThat(this.table.updateSince(behind.nextOffset())).isEqualTo(new KeyedTable.Update(10, List.of()));
	}

	@Test
	void discardedTombstonesAreNotMissedByTablesBehind() {
		KeyedTable behind = KeyedTable.empty();
		behind.apply(List.of(record("k0", 0)), 1);
		this.table.apply(List.of(record("k0", 0)), 1);
		for (int i = 0; i < KeyedTable.MAX_TOMBSTONES + 10; i++) {
			this.table.apply(List.of(tombstone("k" + i, i + 1)), i + 2);
		}
		behind.apply(this.table.updateSince(behind.nextOffset()), this.table.nextOffset());
		assertThat(behind.since(0)).filteredOn((record) -> record.key().equals("k0") && !record.deleted()).isEmpty();
	}

	@Test
	void updateAfterMissingRecordsIsIgnored() {
		assertThat(this.table.apply(new KeyedTable.Update(5, List.of(record("a", 6))), 7)).isEmpty();
		assertThat(this.table.nextOffset()).isZero();
	}

}
