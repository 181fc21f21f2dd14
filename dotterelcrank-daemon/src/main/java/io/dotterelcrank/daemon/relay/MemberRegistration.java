package io.dotterelcrank.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.membership.Member;
import io.dotterelcrank.process.replica.KeyedTable;
import io.dotterelcrank.process.replica.KeyedTableStore;

/**
 * Keeps this entry host registered in the members table: writes its record at the start,
 * and again when a listing lacks it, as the store may come back from a copy without it.
 * Addresses the load pattern of hundreds of hosts that miss their records at the same
 * moment: their writes are spread. Confined to the control thread.
 */
final class MemberRegistration {

	/** Table in which entry hosts register their addresses. */
	static final String TABLE = "members";

	/** Time over which the writes of all hosts are spread, in milliseconds. */
	static final long SPREAD_MILLIS = 1_000;

	/** Delay after a failed write, in milliseconds. */
	static final long RETRY_MILLIS = 1_000;

	/**
	 * Time after the first listing in which the record written at the start is read, in
	 * milliseconds.
	 */
	static final long FIRST_CHECK_MILLIS = 3_000;

	private static final Logger logger = LoggerFactory.getLogger(MemberRegistration.class);

	private final KeyedTableStore store;

	private final Scheduler control;

	private final UniformRandomProvider random;

	private final KeyedTable records;

	private final Member self;

	/** Whether a write is under way or due. */
	private boolean writing;

	private boolean listed;

	private MemberRegistration(KeyedTableStore store, Scheduler control, UniformRandomProvider random,
			KeyedTable records, Member self) {
		this.store = store;
		this.control = control;
		this.random = random;
		this.records = records;
		this.self = self;
	}

	/**
	 * Creates a registration that has not been written.
	 * @param store the store
	 * @param control scheduler of the control thread
	 * @param random random source for the moments of writes
	 * @param records the members table as this host has read it
	 * @param self this host, with the address at which peers and sidecars connect
	 * @return a new registration
	 */
	static MemberRegistration of(KeyedTableStore store, Scheduler control, UniformRandomProvider random,
			KeyedTable records, Member self) {
		return new MemberRegistration(store, control, random, records, self);
	}

	/**
	 * Writes the record. Retries until the store confirms.
	 */
	void write() {
		this.writing = true;
		this.store.put(TABLE, this.self.name(), value()).whenComplete((ignored, failure) -> this.control.execute(() -> {
			this.writing = failure != null;
			if (failure != null) {
				LogEvent.STORE_UNREACHABLE.log(logger, TABLE, failure.getMessage());
				this.control.schedule(RETRY_MILLIS + spread(), this::write);
			}
		}));
	}

	/**
	 * Looks soon whether the record is missing, after the table was listed.
	 */
	void handleListing() {
		this.control.schedule((this.listed ? 0 : FIRST_CHECK_MILLIS) + spread(), this::writeIfMissing);
		this.listed = true;
	}

	private long spread() {
		return this.random.nextLong(SPREAD_MILLIS);
	}

	private void writeIfMissing() {
		boolean registered = this.records.find(this.self.name())
			.filter((record) -> Arrays.equals(record.value(), value()))
			.isPresent();
		if (!registered && !this.writing) {
			LogEvent.MEMBER_REGISTERED_AGAIN.log(logger, this.self.name());
			write();
		}
	}

	private byte[] value() {
		return this.self.format().getBytes(StandardCharsets.UTF_8);
	}

}
