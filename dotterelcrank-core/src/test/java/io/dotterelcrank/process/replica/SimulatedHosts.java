package io.dotterelcrank.process.replica;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.apache.commons.rng.simple.RandomSource;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.process.membership.Member;

/**
 * Entry hosts that share the reads of one table, on a manual clock, with a store and a
 * network whose faults the test sets. Confined to the test's thread.
 */
final class SimulatedHosts {

	static final long LATENCY_MILLIS = 2;

	private static final long STORE_TIMEOUT_MILLIS = 900;

	/** Size of a message besides its records, in bytes. */
	private static final long MESSAGE_BYTES = 60;

	private final Clock.Manual clock = Clock.manual(100_000);

	private final Scheduler.Manual scheduler = Scheduler.manual(this.clock);

	private final SimulatedStore store = SimulatedStore.empty();

	/** Whether the store refuses all calls. */
	private boolean storeDown;

	/** Time that responses of the store take, in milliseconds. */
	private long responseMillis = LATENCY_MILLIS;

	private final List<Member> members = new ArrayList<>();

	private final Map<String, Host> hosts = new HashMap<>();

	/** Names of two hosts, in both orders, whose messages are lost. */
	private final Set<String> cutPairs = new HashSet<>();

	private final ReadSchedule schedule;

	/** Reads that the store holds until there are records. */
	private final List<HeldRead> heldReads = new ArrayList<>();

	private SimulatedHosts(int hostCount, int dataCentres, ReadSchedule schedule) {
		this.schedule = schedule;
		for (int i = 0; i < hostCount; i++) {
			this.members
				.add(new Member("h" + i, new InetSocketAddress("10.0.0." + (i + 1), 80), "dc" + (i % dataCentres)));
		}
		this.members.forEach((member) -> this.hosts.put(member.name(), new Host(member)));
	}

	static SimulatedHosts polling(int hostCount, int dataCentres, long boundMillis) {
		return new SimulatedHosts(hostCount, dataCentres, ReadSchedule.polling(boundMillis));
	}

	static SimulatedHosts longPolling(int hostCount, int dataCentres, long boundMillis) {
		return new SimulatedHosts(hostCount, dataCentres, ReadSchedule.longPolling(boundMillis));
	}

	void start() {
		this.members.forEach((member) -> this.hosts.get(member.name()).start());
	}

	Host host(int index) {
		return this.hosts.get("h" + index);
	}

	int size() {
		return this.members.size();
	}

	void advance(long millis) {
		this.scheduler.advance(millis);
	}

	long append(String key) {
		return append(key, 1);
	}

	long append(String key, int value) {
		return append(key, value, Integer.BYTES);
	}

	/**
	 * Appends a record that takes many bytes.
	 */
	long append(String key, int value, int bytes) {
		long offset = this.store.append(key, ByteBuffer.allocate(bytes).putInt(value).array());
		answerHeldReads();
		return offset;
	}

	long delete(String key) {
		long offset = this.store.append(key, null);
		answerHeldReads();
		return offset;
	}

	/** Reads see changes of the store from the next call on. */
	SimulatedStore store() {
		return this.store;
	}

	/**
	 * Makes the store unreachable, or reachable again.
	 */
	void setStoreDown(boolean down) {
		this.storeDown = down;
		if (down) {
			failHeldReads((read) -> true);
		}
	}

	private void failHeldReads(Predicate<HeldRead> condition) {
		List<HeldRead> broken = this.heldReads.stream().filter(condition).toList();
		this.heldReads.removeAll(broken);
		broken.forEach(HeldRead::fail);
	}

	/**
	 * Lets the store come back from a copy, which lacks the newest records.
	 */
	void rewind(int records) {
		this.store.rewind(records);
		failHeldReads((read) -> true);
	}

	void setResponseMillis(long millis) {
		this.responseMillis = millis;
	}

	private void answerHeldReads() {
		List<HeldRead> held = List.copyOf(this.heldReads);
		this.heldReads.clear();
		held.forEach(HeldRead::answer);
	}

	void setCut(int left, int right, boolean cut) {
		for (String pair : List.of("h" + left + "-h" + right, "h" + right + "-h" + left)) {
			if (cut) {
				this.cutPairs.add(pair);
			}
			else {
				this.cutPairs.remove(pair);
			}
		}
	}

	long storeCalls() {
		return this.hosts.values().stream().mapToLong((host) -> host.storeCalls).sum();
	}

	/**
	 * One host. While it is paused, nothing that it does or gets happens; it resumes with
	 * all of it.
	 */
	final class Host implements Transport, KeyedTableStore {

		private final Member member;

		private final List<Runnable> deferred = new ArrayList<>();

		private boolean paused;

		/** Whether messages that arrive are not read. */
		private boolean readsLate;

		/** Messages that have arrived and are not read. */
		private final List<Runnable> unread = new ArrayList<>();

		private StorePath storePath = StorePath.OPEN;

		private long storeCalls;

		/** Bytes a millisecond that the host's link carries; 0 if it has no limit. */
		private long uplinkBytesPerMillis;

		/** When the host's link has carried all that was sent. */
		private long uplinkFreeMillis;

		/** Additional time that messages of this host take, in milliseconds. */
		private long delayMillis;

		private final Scheduler control = new HostScheduler();

		private TableSharing sharing;

		private TableFeed feed;

		private PeerTableSync peerSync;

		/** Links of this host to others that were closed. */
		private int closedLinks;

		/** What the changes of the table have told this host. */
		private final SimulatedView view = SimulatedView.empty();

		Host(Member member) {
			this.member = member;
		}

		private void start() {
			ReadSchedule schedule = SimulatedHosts.this.schedule;
			this.feed = (schedule.waitMillis() > 0)
					? TableFeed.longPolling("op", this, SimulatedHosts.this.clock, this.control, schedule.waitMillis(),
							schedule.pauseMillis(), this.view::update)
					: TableFeed.polling("op", this, SimulatedHosts.this.clock, this.control, schedule.pauseMillis(),
							this.view::update);
			this.sharing = TableSharing.of(this, this.control, SimulatedHosts.this.clock, this.member,
					() -> SimulatedHosts.this.members);
			this.sharing.add(this.feed, schedule.followMillis());
			this.peerSync = PeerTableSync.of(this, this.control, SimulatedHosts.this.clock, this::peers,
					RandomSource.XO_RO_SHI_RO_128_PP.create(this.member.name().hashCode()));
			this.peerSync.add(this.feed);
			this.feed.start();
			this.sharing.start();
			this.peerSync.start();
		}

		void setPaused(boolean nowPaused) {
			this.paused = nowPaused;
			if (!nowPaused) {
				List<Runnable> due = List.copyOf(this.deferred);
				this.deferred.clear();
				due.forEach(this::run);
			}
		}

		private List<InetSocketAddress> peers() {
			return SimulatedHosts.this.members.stream()
				.filter((other) -> other != this.member)
				.map(Member::address)
				.toList();
		}

		/**
		 * Sets what becomes of this host's calls to the store, those that it holds
		 * included.
		 */
		void setStorePath(StorePath path) {
			this.storePath = path;
			if (path == StorePath.REFUSED) {
				failHeldReads((read) -> read.host == this);
			}
		}

		/**
		 * Limits what the host's link carries of the messages that the host sends.
		 */
		void setUplink(long bytesPerMillis) {
			this.uplinkBytesPerMillis = bytesPerMillis;
		}

		void setDelayMillis(long millis) {
			this.delayMillis = millis;
		}

		/**
		 * Returns how long a message that the host sends now waits for its link.
		 */
		long uplinkQueueMillis() {
			return Math.max(0, this.uplinkFreeMillis - SimulatedHosts.this.clock.millis());
		}

		private long transferMillis(Message message) {
			if (this.uplinkBytesPerMillis == 0) {
				return LATENCY_MILLIS + this.delayMillis;
			}
			this.uplinkFreeMillis = SimulatedHosts.this.clock.millis() + uplinkQueueMillis()
					+ bytes(message) / this.uplinkBytesPerMillis;
			return uplinkQueueMillis() + LATENCY_MILLIS + this.delayMillis;
		}

		private static long bytes(Message message) {
			List<KeyedRecord> records = List.of();
			if (message instanceof Message.RecordsPush push) {
				records = push.records();
			}
			else if (message instanceof Message.RecordsResponse response) {
				records = response.records();
			}
			return MESSAGE_BYTES + records.stream()
				.filter((record) -> !record.deleted())
				.mapToLong((record) -> record.value().length)
				.sum();
		}

		/**
		 * Adds a table that the store has too, with the same records, at this host only.
		 */
		void addTable(String name) {
			TableFeed added = TableFeed.polling(name, this, SimulatedHosts.this.clock, this.control, 100, (changes) -> {
			});
			this.sharing.add(added, 100);
			added.start();
		}

		int closedLinks() {
			return this.closedLinks;
		}

		boolean reads() {
			return !this.feed.following();
		}

		long nextOffset() {
			return this.feed.records().nextOffset();
		}

		long epoch() {
			return this.feed.records().epoch();
		}

		SimulatedView view() {
			return this.view;
		}

		long storeCalls() {
			return this.storeCalls;
		}

		private void run(Runnable task) {
			if (this.paused) {
				this.deferred.add(task);
			}
			else {
				task.run();
			}
		}

		@Override
		public CompletableFuture<Batch> list(String table) {
			return respond(0, SimulatedHosts.this.store::list);
		}

		@Override
		public CompletableFuture<Batch> read(String table, long fromOffset, long waitMillis) {
			boolean held = waitMillis > 0 && SimulatedHosts.this.store.endsAt(fromOffset);
			return respond(held ? waitMillis : 0, () -> SimulatedHosts.this.store.read(fromOffset));
		}

		private CompletableFuture<Batch> respond(long waitMillis, Supplier<Batch> batch) {
			this.storeCalls++;
			HeldRead read = new HeldRead(this, batch);
			SimulatedHosts.this.scheduler.schedule(LATENCY_MILLIS, () -> {
				if (this.storePath == StorePath.REFUSED || SimulatedHosts.this.storeDown) {
					read.fail();
				}
				else if (this.storePath == StorePath.OPEN && waitMillis > 0) {
					SimulatedHosts.this.heldReads.add(read);
					SimulatedHosts.this.scheduler.schedule(waitMillis, () -> {
						if (SimulatedHosts.this.heldReads.remove(read)) {
							read.answer();
						}
					});
				}
				else {
					read.answer();
				}
			});
			SimulatedHosts.this.scheduler.schedule(waitMillis + STORE_TIMEOUT_MILLIS, read::fail);
			return read.response;
		}

		@Override
		public CompletableFuture<Void> put(String table, String key, byte[] value) {
			return CompletableFuture.completedFuture(null);
		}

		@Override
		public CompletableFuture<Boolean> tryAppend(String table, long endOffset, String key, byte[] value) {
			return CompletableFuture.completedFuture(true);
		}

		@Override
		public InetSocketAddress listen(InetSocketAddress address, Link.Listener listener) {
			return address;
		}

		@Override
		public Link open(InetSocketAddress address, Link.Listener listener) {
			Host peer = SimulatedHosts.this.members.stream()
				.filter((candidate) -> candidate.address().equals(address))
				.map((candidate) -> SimulatedHosts.this.hosts.get(candidate.name()))
				.findFirst()
				.orElseThrow();
			return new SimulatedLink(this, peer, listener);
		}

		@Override
		public Traffic traffic() {
			return new Traffic(0, 0, 0, 0);
		}

		@Override
		public void close() {
			// Nothing to release.
		}

		private void read(Runnable delivery) {
			this.unread.add(delivery);
			if (!this.readsLate) {
				readArrived();
			}
		}

		private void readArrived() {
			List<Runnable> arrived = List.copyOf(this.unread);
			this.unread.clear();
			arrived.forEach(this::run);
		}

		/**
		 * Sets whether messages that arrive are read only when the host asks for it.
		 */
		void setReadsLate(boolean late) {
			this.readsLate = late;
			if (!late) {
				readArrived();
			}
		}

		/**
		 * Runs the host's tasks unless it is paused.
		 */
		private final class HostScheduler implements Scheduler {

			@Override
			public void execute(Runnable task) {
				SimulatedHosts.this.scheduler.execute(() -> Host.this.run(task));
			}

			@Override
			public ScheduledTask schedule(long delayMillis, Runnable task) {
				return SimulatedHosts.this.scheduler.schedule(delayMillis, () -> Host.this.run(task));
			}

			@Override
			public void close() {
				// The simulation ends.
			}

		}

	}

	/**
	 * What becomes of a host's calls to the store.
	 */
	enum StorePath {

		/** Calls are answered. */
		OPEN,

		/** Calls fail at once, and so do those that the store holds. */
		REFUSED,

		/** Calls are not answered, nor are those that the store holds. */
		SILENT

	}

	/**
	 * A call to the store that has no response yet.
	 */
	private final class HeldRead {

		private final Host host;

		private final Supplier<KeyedTableStore.Batch> batch;

		private final CompletableFuture<KeyedTableStore.Batch> response = new CompletableFuture<>();

		HeldRead(Host host, Supplier<KeyedTableStore.Batch> batch) {
			this.host = host;
			this.batch = batch;
		}

		void answer() {
			if (this.host.storePath == StorePath.SILENT) {
				return;
			}
			KeyedTableStore.Batch answer = this.batch.get();
			SimulatedHosts.this.scheduler.schedule(SimulatedHosts.this.responseMillis,
					() -> this.host.run(() -> this.response.complete(answer)));
		}

		void fail() {
			SimulatedHosts.this.scheduler.schedule(LATENCY_MILLIS, () -> this.host
				.run(() -> this.response.completeExceptionally(new PlatformException("unreachable"))));
		}

	}

	/**
	 * Link from a reader to a follower. Messages are lost without notice while the pair
	 * is cut, and for good once one was lost.
	 */
	private final class SimulatedLink implements Link {

		private final Host opener;

		private final Host peer;

		private final Link.Listener listener;

		private final ReplyLink replyLink = new ReplyLink();

		private boolean silent;

		private boolean closed;

		SimulatedLink(Host opener, Host peer, Link.Listener listener) {
			this.opener = opener;
			this.peer = peer;
			this.listener = listener;
		}

		private void deliver(Host sender, Host receiver, Message message, Runnable delivery) {
			String pair = this.opener.member.name() + '-' + this.peer.member.name();
			this.silent |= SimulatedHosts.this.cutPairs.contains(pair);
			if (!this.silent && !this.closed) {
				SimulatedHosts.this.scheduler.schedule(sender.transferMillis(message), () -> receiver.read(delivery));
			}
		}

		@Override
		public void send(Message message) {
			deliver(this.opener, this.peer, message, () -> {
				if (message instanceof Message.RecordsPush push) {
					this.peer.sharing.handlePush(this.replyLink, push);
				}
				else if (message instanceof Message.RecordsRequest request) {
					this.peer.peerSync.handleRequest(this.replyLink, request);
				}
			});
		}

		@Override
		public void runAfterReads(Runnable task) {
			this.opener.readArrived();
			task.run();
		}

		@Override
		public boolean writable() {
			return true;
		}

		@Override
		public void close() {
			if (!this.closed) {
				this.closed = true;
				this.opener.closedLinks++;
				this.listener.closed(this);
			}
		}

		@Override
		public String peerAddress() {
			return this.peer.member.name();
		}

		/**
		 * The follower's end of the link.
		 */
		private final class ReplyLink implements Link {

			@Override
			public void send(Message message) {
				deliver(SimulatedLink.this.peer, SimulatedLink.this.opener, message,
						() -> SimulatedLink.this.listener.received(SimulatedLink.this, 0, message));
			}

			@Override
			public boolean writable() {
				return true;
			}

			@Override
			public void close() {
				SimulatedLink.this.close();
			}

			@Override
			public String peerAddress() {
				return SimulatedLink.this.opener.member.name();
			}

		}

	}

}
