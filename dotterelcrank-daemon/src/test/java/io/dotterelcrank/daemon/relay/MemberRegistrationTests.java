package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.process.membership.Member;
import io.dotterelcrank.process.replica.KeyedTable;
import io.dotterelcrank.process.replica.KeyedTableStore;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link MemberRegistration} with a store that loses the record.
 */
class MemberRegistrationTests {

	private static final Member SELF = new Member("e1", new InetSocketAddress("10.0.0.1", 80), "dc");

	private final Clock.Manual clock = Clock.manual(10_000);

	private final Scheduler.Manual control = Scheduler.manual(this.clock);

	private final CountingStore store = new CountingStore();

	private final KeyedTable records = KeyedTable.empty();

	private final MemberRegistration registration = registration(7);

	private MemberRegistration registration(long seed) {
		return MemberRegistration.of(this.store, this.control, RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
				this.records, SELF);
	}

	private static KeyedRecord record(String text, long offset) {
		return new KeyedRecord("e1", offset, text.getBytes(StandardCharsets.UTF_8));
	}

	private void list(long epoch, KeyedRecord... listing) {
		this.records.applyListing(List.of(listing), 5, epoch);
		this.registration.handleListing();
	}

	private void startAndRead() {
		this.registration.write();
		list(1);
		this.control.advance(1_500);
		this.records.apply(List.of(record(SELF.format(), 5)), 6);
		this.control.advance(10_000);
	}

	@Test
	void isWrittenOnceAtTheStart() {
		startAndRead();
		assertThat(this.store.writtenMillis).hasSize(1);
	}

	/** Sidecars and hosts did not know the host for the rest of its life. */
	@Test
	void isWrittenAgainWhenTheStoreCameBackWithoutIt() {
		startAndRead();
		list(2);
		this.control.advance(MemberRegistration.SPREAD_MILLIS);
		assertThat(this.store.writtenMillis).hasSize(2);
	}

	@Test
	void isWrittenAgainWhenTheStoreCameBackWithAnOlderAddress() {
		startAndRead();
		list(2, record("10.0.0.9:80 dc", 0));
		this.control.advance(MemberRegistration.SPREAD_MILLIS);
		assertThat(this.store.writtenMillis).hasSize(2);
	}

	/** The same host registered with a build that publishes no link capacity. */
	@Test
	void isWrittenAgainWhenTheStoreCameBackWithoutTheLinkCapacity() {
		Member withLink = new Member(SELF.name(), SELF.address(), SELF.dataCentre(), 140);
		MemberRegistration host = MemberRegistration.of(this.store, this.control,
				RandomSource.XO_RO_SHI_RO_128_PP.create(7), this.records, withLink);
		host.write();
		this.records.applyListing(List.of(record(SELF.format(), 0)), 5, 2);
		host.handleListing();
		this.control.advance(MemberRegistration.FIRST_CHECK_MILLIS + MemberRegistration.SPREAD_MILLIS);
		assertThat(this.store.writtenMillis).hasSize(2);
	}

	@Test
	void isNotWrittenAgainIfTheStoreCameBackWithIt() {
		startAndRead();
		list(2, record(SELF.format(), 0));
		this.control.advance(10_000);
		assertThat(this.store.writtenMillis).hasSize(1);
	}

	@Test
	void isWrittenAgainIfItWasLostBeforeTheFirstListing() {
		this.registration.write();
		list(2);
		this.control.advance(10_000);
		assertThat(this.store.writtenMillis).hasSize(2);
	}

	@Test
	void writesOfManyHostsAreSpread() {
		for (int seed = 0; seed < 400; seed++) {
			MemberRegistration host = registration(seed);
			host.handleListing();
			this.control.runDue();
			host.handleListing();
		}
		this.control.advance(MemberRegistration.SPREAD_MILLIS);
		for (long from = 0; from < MemberRegistration.SPREAD_MILLIS; from += 100) {
			long startMillis = 10_000 + from;
			assertThat(this.store.writtenMillis).filteredOn((at) -> at >= startMillis && at < startMillis + 100)
				.hasSizeBetween(20, 70);
		}
	}

	@Test
	void failedWriteIsRepeated() {
		this.store.unavailable = true;
		this.registration.write();
		this.control.advance(5_000);
		assertThat(this.store.writtenMillis).hasSizeBetween(3, 6);
		this.store.unavailable = false;
		this.control.advance(2_000);
		int writes = this.store.writtenMillis.size();
		this.control.advance(10_000);
		assertThat(this.store.writtenMillis).hasSize(writes);
	}

	/**
	 * A store that counts writes.
	 */
	private final class CountingStore implements KeyedTableStore {

		private final List<Long> writtenMillis = new ArrayList<>();

		private boolean unavailable;

		@Override
		public CompletableFuture<Batch> list(String table) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<Batch> read(String table, long fromOffset, long waitMillis) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletableFuture<Void> put(String table, String key, byte[] value) {
			this.writtenMillis.add(MemberRegistrationTests.this.clock.millis());
			return this.unavailable ? CompletableFuture.failedFuture(new PlatformException("refused"))
					: CompletableFuture.completedFuture(null);
		}

		@Override
		public CompletableFuture<Boolean> tryAppend(String table, long endOffset, String key, byte[] value) {
			throw new UnsupportedOperationException();
		}

	}

}
