package io.dotterelcrank.process.replica;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.WeakHashMap;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.process.membership.Member;

/**
 * Shares the reading of keyed tables among the entry hosts of a group, so that calls to
 * the store grow with data centres and not with hosts. A group has the hosts of one data
 * centre, or of several if each has only a few. The hosts of a group are ranked; a host
 * that reads a table pushes its records to all hosts that rank after it, and a host that
 * gets current records from one that ranks before it does not read. Invariants: the host
 * that ranks first always reads; a host follows only a host that reads the store itself,
 * and reads by itself if it gets no push for {@link SharedTable#followMillis()}, if the
 * reader's last read is older than {@link SharedTable#maxReadAgeMillis}, or at once if
 * the reader's call has failed; several readers at once change nothing that is in force,
 * as epochs and offsets only advance; a follower is sent one push of a table at a time,
 * with the newest record of each key, and {@link BulkPushes} limits the large ones, so
 * that a thin link also carries what callers wait for. Confined to the control thread.
 */
public final class TableSharing {

	/** Pushes sent within the time for which a host follows. */
	static final int PUSHES_PER_FOLLOW = 3;

	/**
	 * Part of the follow time by which each rank follows longer, so that one host at a
	 * time takes over.
	 */
	static final double STAGGER_FRACTION = 0.15;

	/**
	 * Intervals between two pushes for which an acknowledgement may take; then a link is
	 * replaced.
	 */
	static final int MAX_ACK_INTERVALS = 4;

	/**
	 * Size of records from which on a push counts as large, in bytes; below, it takes
	 * little longer on a thin link than without records.
	 */
	static final long BULK_BYTES = 4 * 1024;

	/**
	 * Time until an acknowledgement from which on it counts as late, in milliseconds; far
	 * above a round trip.
	 */
	static final long LATE_ACK_MILLIS = 500;

	/** Age of records of which it is not known when they were current. */
	private static final long UNKNOWN_AGE = Integer.MAX_VALUE;

	/** Time until a closed link is opened again, in milliseconds. */
	static final long RECONNECT_MILLIS = 1_000;

	/** Min time between two checks for pushes that are due, in milliseconds. */
	static final long MIN_TICK_MILLIS = 50;

	private static final Logger logger = LoggerFactory.getLogger(TableSharing.class);

	private final Transport transport;

	private final Scheduler control;

	private final Clock clock;

	private final Member self;

	/** Supplies all entry hosts. */
	private final Supplier<Collection<Member>> members;

	/** Tables by name. */
	private final Map<String, SharedTable> tables = new LinkedHashMap<>();

	private final BulkPushes bulkPushes;

	/**
	 * When this host has last acknowledged a push, by link and table, in milliseconds.
	 */
	private final Map<Link, Map<String, Long>> acknowledgedMillis = new WeakHashMap<>();

	/** Links to hosts that rank after this one, by address. */
	private final Map<InetSocketAddress, FollowerLink> followers = new HashMap<>();

	/** When the last link to an address was closed. */
	private final Map<InetSocketAddress, Long> closedMillis = new HashMap<>();

	private TableSharing(Transport transport, Scheduler control, Clock clock, Member self,
			Supplier<Collection<Member>> members) {
		this.transport = transport;
		this.control = control;
		this.clock = clock;
		this.self = self;
		this.members = members;
		this.bulkPushes = new BulkPushes(clock);
	}

	/**
	 * Creates an instance without tables.
	 * @param transport opens links
	 * @param control the control thread
	 * @param clock clock of the process
	 * @param self this host
	 * @param members supplies all entry hosts
	 * @return an instance that is not started
	 */
	public static TableSharing of(Transport transport, Scheduler control, Clock clock, Member self,
			Supplier<Collection<Member>> members) {
		return new TableSharing(transport, control, clock, self, members);
	}

	/**
	 * Adds a table.
	 * @param feed feed of the table
	 * @param followMillis time without a push after which this host reads by itself, in
	 * milliseconds
	 */
	public void add(TableFeed feed, long followMillis) {
		SharedTable table = new SharedTable(feed, followMillis);
		this.tables.put(feed.table(), table);
		feed.onRead(() -> push(table));
	}

	/**
	 * Starts to push records periodically.
	 */
	public void start() {
		scheduleTick(MIN_TICK_MILLIS);
	}

	private void scheduleTick(long delayMillis) {
		this.control.schedule(delayMillis, () -> {
			try {
				pushDueTables();
			}
			finally {
				scheduleTick(Math.max(MIN_TICK_MILLIS, millisToNextPush()));
			}
		});
	}

	private long millisToNextPush() {
		long nowMillis = this.clock.millis();
		return this.tables.values()
			.stream()
			.mapToLong((table) -> table.nextPushMillis() - nowMillis)
			.min()
			.orElse(MIN_TICK_MILLIS);
	}

	private void pushDueTables() {
		this.bulkPushes.releaseSilent();
		long nowMillis = this.clock.millis();
		for (SharedTable table : this.tables.values()) {
			if (nowMillis >= table.nextPushMillis()) {
				push(table);
			}
		}
	}

	private void push(SharedTable table) {
		table.pushedMillis = this.clock.millis();
		boolean current = table.feed.readAgeMillis() <= table.maxReadAgeMillis();
		boolean reads = current && table.feed.listed() && !table.feed.following();
		if (reads || (table.followed && !current)) {
			group().followers().forEach((member) -> follower(member.address()).push(table));
		}
		table.followed = reads;
	}

	private ReaderGroup group() {
		return ReaderGroup.of(this.self.name(), this.members.get());
	}

	private FollowerLink follower(InetSocketAddress address) {
		return this.followers.computeIfAbsent(address, FollowerLink::new);
	}

	/**
	 * Handles records that another host has read.
	 * @param link link to the sender
	 * @param push the records
	 */
	public void handlePush(Link link, Message.RecordsPush push) {
		this.control.execute(() -> {
			SharedTable table = this.tables.get(push.table());
			if (table == null) {
				// Without an acknowledgement, the sender would replace the link.
				link.send(new Message.RecordsPushAck(push.table(), push.nextOffset(), push.epoch()));
				return;
			}
			KeyedTable.Update update = new KeyedTable.Update(push.fromOffset(), push.records(), push.epoch());
			KeyedTable records = table.feed.records();
			boolean accepted = records.accepts(update);
			long ageMillis = ageOnArrivalMillis(link, push);
			table.feed.applyPeerRecords(update, push.nextOffset(), ageMillis);
			boolean firstOnLink = ageMillis == UNKNOWN_AGE && push.ageMillis() <= table.maxReadAgeMillis();
			if (ageMillis > table.maxReadAgeMillis() && !firstOnLink) {
				table.feed.unfollow(push.sender(), staggerMillis(table));
			}
			else if (accepted && !firstOnLink && group().mayFollow(push.sender())
					&& push.nextOffset() >= records.nextOffset()) {
				table.feed.follow(push.sender(), followMillis(table, ageMillis));
			}
			this.acknowledgedMillis.computeIfAbsent(link, (ignored) -> new HashMap<>())
				.put(push.table(), this.clock.millis());
			link.send(new Message.RecordsPushAck(push.table(), acknowledgedOffset(push, records), records.epoch()));
		});
	}

	/**
	 * Returns an upper bound of the age of records when they arrive, as a push may have
	 * been under way for long: the time since this host's last acknowledgement, less what
	 * passed between its arrival and the push.
	 * @param link link on which it has arrived
	 * @param push the push
	 * @return age in milliseconds; {@link #UNKNOWN_AGE} if there is no bound
	 */
	private long ageOnArrivalMillis(Link link, Message.RecordsPush push) {
		Long acknowledged = this.acknowledgedMillis.getOrDefault(link, Map.of()).get(push.table());
		if (acknowledged == null || push.sinceAckMillis() < 0) {
			return UNKNOWN_AGE;
		}
		long underWayMillis = Math.max(0, this.clock.millis() - acknowledged - push.sinceAckMillis());
		return Math.min(UNKNOWN_AGE, push.ageMillis() + underWayMillis);
	}

	private static long acknowledgedOffset(Message.RecordsPush push, KeyedTable records) {
		if (push.epoch() < records.epoch()) {
			// Nothing of an earlier epoch is needed any more.
			return push.nextOffset();
		}
		return (push.epoch() == records.epoch()) ? records.nextOffset() : 0;
	}

	private long followMillis(SharedTable table, long readAgeMillis) {
		return Math.min(table.followMillis, table.maxReadAgeMillis() - readAgeMillis) + staggerMillis(table);
	}

	private long staggerMillis(SharedTable table) {
		return (long) (table.followMillis * STAGGER_FRACTION * group().rank());
	}

	/**
	 * Returns how this host gets each table.
	 * @return "store" or "peer" by name of the table, for dumps
	 */
	public Map<String, String> sources() {
		Map<String, String> sources = new LinkedHashMap<>();
		this.tables.forEach((name, table) -> sources.put(name, table.feed.following() ? "peer" : "store"));
		return sources;
	}

	/**
	 * A table with its times. Confined to the control thread.
	 */
	private static final class SharedTable {

		private final TableFeed feed;

		private final long followMillis;

		private long pushedMillis;

		/** Whether hosts may follow this one, as far as the last push said. */
		private boolean followed;

		SharedTable(TableFeed feed, long followMillis) {
			this.feed = feed;
			this.followMillis = followMillis;
		}

		long nextPushMillis() {
			return this.pushedMillis + this.followMillis / PUSHES_PER_FOLLOW;
		}

		/**
		 * Returns how long ago a reader's last read may be.
		 * @return age in milliseconds
		 */
		long maxReadAgeMillis() {
			return this.feed.intervalMillis() + this.followMillis / PUSHES_PER_FOLLOW;
		}

		/**
		 * Returns how long a follower may take to acknowledge a push.
		 * @return time in milliseconds
		 */
		long maxAckMillis() {
			return MAX_ACK_INTERVALS * this.followMillis / PUSHES_PER_FOLLOW;
		}

	}

	/**
	 * Link to a host that ranks after this one. Confined to the control thread.
	 */
	private final class FollowerLink implements Link.Listener {

		private final InetSocketAddress address;

		/** {@code null} until it may be opened again. */
		private Link link;

		/** Pushes to the follower, by table. */
		private final Map<String, FollowerTable> tables = new HashMap<>();

		FollowerLink(InetSocketAddress address) {
			this.address = address;
		}

		/**
		 * Pushes the newest records that the follower lacks, or lets them wait: for the
		 * acknowledgement of the last push of the table, or until fewer followers are
		 * sent large records.
		 * @param table the table
		 */
		void push(SharedTable table) {
			if (this.link == null && !tryOpen()) {
				return;
			}
			FollowerTable state = this.tables.computeIfAbsent(table.feed.table(), FollowerTable::new);
			long nowMillis = TableSharing.this.clock.millis();
			if (state.awaitsAck()) {
				state.recordSkip();
				if (isOverdue(state, table)) {
					this.link
						.runAfterReads(() -> TableSharing.this.control.execute(() -> closeIfOverdue(state, table)));
				}
				return;
			}
			KeyedTable records = table.feed.records();
			KeyedTable.Update update = state.updateFrom(records);
			long bytes = update.records().stream().mapToLong(KeyedRecord::bytes).sum();
			if (bytes > BULK_BYTES && !TableSharing.this.bulkPushes.tryEnter(state, bytes, () -> push(table))) {
				return;
			}
			long sinceAckMillis = state.recordPush(nowMillis, bytes);
			this.link.send(new Message.RecordsPush(TableSharing.this.self.name(), table.feed.table(),
					update.fromOffset(), records.nextOffset(), table.feed.readAgeMillis(), update.records(),
					update.epoch(), sinceAckMillis));
		}

		private boolean isOverdue(FollowerTable state, SharedTable table) {
			return state.awaitsAckFor(TableSharing.this.clock.millis()) >= table.maxAckMillis();
		}

		private void closeIfOverdue(FollowerTable state, SharedTable table) {
			if (isOverdue(state, table)) {
				logIfLate(state);
				this.link.close();
			}
		}

		private boolean tryOpen() {
			long closed = TableSharing.this.closedMillis.getOrDefault(this.address, 0L);
			if (closed > 0 && TableSharing.this.clock.millis() - closed < RECONNECT_MILLIS) {
				return false;
			}
			this.link = TableSharing.this.transport.open(this.address, this);
			return true;
		}

		private void logIfLate(FollowerTable state) {
			long millis = state.awaitsAckFor(TableSharing.this.clock.millis());
			if (millis >= LATE_ACK_MILLIS) {
				LogEvent.PUSH_ACKNOWLEDGED_LATE.log(logger, state.table(), this.address, millis, state.bytes());
			}
		}

		@Override
		public void opened(Link openedLink) {
			// The link queues messages sent before it is open.
		}

		@Override
		public void received(Link sender, long version, Message message) {
			if (message instanceof Message.RecordsPushAck ack) {
				TableSharing.this.control.execute(() -> handleAck(ack));
			}
			else if (message instanceof Message.RecordsResponse response) {
				TableSharing.this.control.execute(() -> handleResponse(response));
			}
		}

		private void handleAck(Message.RecordsPushAck ack) {
			SharedTable table = TableSharing.this.tables.get(ack.table());
			FollowerTable state = this.tables.get(ack.table());
			if (table == null || state == null) {
				return;
			}
			logIfLate(state);
			KeyedTable records = table.feed.records();
			boolean skipped = state.recordAck(ack, records.epoch(), TableSharing.this.clock.millis());
			TableSharing.this.bulkPushes.leave(state);
			if (state.epoch() > records.epoch()) {
				requestRecords(state, records);
			}
			else if ((skipped || state.isBehind(records)) && !table.feed.following()) {
				push(table);
			}
		}

		/**
		 * Asks a follower for the records of a later epoch of the store, once until it
		 * responds.
		 * @param state the follower's table
		 * @param records records of this host
		 */
		private void requestRecords(FollowerTable state, KeyedTable records) {
			if (state.tryRequest(TableSharing.this.clock.millis())) {
				this.link.send(new Message.RecordsRequest(state.table(), records.nextOffset(), records.epoch()));
			}
		}

		private void handleResponse(Message.RecordsResponse response) {
			SharedTable table = TableSharing.this.tables.get(response.table());
			FollowerTable state = this.tables.get(response.table());
			if (table != null && state != null) {
				long underWayMillis = state.endRequest(TableSharing.this.clock.millis());
				table.feed.applyPeerRecords(
						new KeyedTable.Update(response.fromOffset(), response.records(), response.epoch()),
						response.nextOffset(), Math.min(UNKNOWN_AGE, response.ageMillis() + underWayMillis));
			}
		}

		@Override
		public void writable(Link writableLink) {
			// One push and one request of each table are under way at most.
		}

		@Override
		public void closed(Link closedLink) {
			TableSharing.this.control.execute(() -> {
				TableSharing.this.closedMillis.put(this.address, TableSharing.this.clock.millis());
				TableSharing.this.followers.remove(this.address, this);
				this.tables.values().forEach(TableSharing.this.bulkPushes::leave);
			});
		}

	}

}
