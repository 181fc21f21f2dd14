package io.dotterelcrank.process.replica;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;

/**
 * Reads records of keyed tables from peers while the store is unreachable for this host;
 * it may refuse some hosts and serve others. Each round asks two peers only, so the
 * messages per host during an outage do not grow with the number of hosts; those that may
 * be responding are asked again first, so that a host behind a slow link does not get the
 * same records from all peers. Invariant: however often a peer asks before it has the
 * response, a link carries a record again only as part of a whole listing. All state is
 * confined to the control thread.
 */
public final class PeerTableSync {

	/**
	 * Records older than the read interval of their feed plus this time are requested
	 * from peers, in milliseconds; less than two reads.
	 */
	static final long STALE_MILLIS = 900;

	/** Time between two rounds of requests, in milliseconds. */
	static final long ROUND_MILLIS = 400;

	/** Number of peers asked per round. */
	static final int PEERS_PER_ROUND = 2;

	/**
	 * Number of rounds in which a peer may be asked without a response; the next round
	 * that asks it closes the link, which is replaced later.
	 */
	static final int MAX_UNANSWERED_ROUNDS = 3;

	/** Upper limit of that number, which doubles with each open link that was closed. */
	static final int MAX_EXTENDED_ROUNDS = 24;

	/** Feeds by name of the table. */
	private final Map<String, TableFeed> feeds = new LinkedHashMap<>();

	private final Transport transport;

	private final Scheduler control;

	private final Clock clock;

	/** Supplies the addresses of peers, without this process. */
	private final Supplier<Collection<InetSocketAddress>> peers;

	private final UniformRandomProvider random;

	/** Links to the peers asked so far, by address. */
	private final Map<InetSocketAddress, PeerLink> links = new HashMap<>();

	/**
	 * Number of rounds in which a peer may be asked without a response, by address, if
	 * open links to it were closed for lack of one since its last response.
	 */
	private final Map<InetSocketAddress, Integer> extendedRounds = new HashMap<>();

	/** What was last sent to the peers that ask this host, by link and table. */
	private final Map<Link, Map<String, Sent>> sent = new HashMap<>();

	private PeerTableSync(Transport transport, Scheduler control, Clock clock,
			Supplier<Collection<InetSocketAddress>> peers, UniformRandomProvider random) {
		this.transport = transport;
		this.control = control;
		this.clock = clock;
		this.peers = peers;
		this.random = random;
	}

	/**
	 * Creates an instance without tables.
	 * @param transport opens links
	 * @param control the control thread
	 * @param clock clock of the process
	 * @param peers supplies the addresses of peers, without this process
	 * @param random random source for the choice of peers
	 * @return an instance that is not started
	 */
	public static PeerTableSync of(Transport transport, Scheduler control, Clock clock,
			Supplier<Collection<InetSocketAddress>> peers, UniformRandomProvider random) {
		return new PeerTableSync(transport, control, clock, peers, random);
	}

	/**
	 * Adds a table.
	 * @param feed feed of the table; receives the records of peers
	 */
	public void add(TableFeed feed) {
		this.feeds.put(feed.table(), feed);
	}

	/**
	 * Starts to request records of stale tables periodically.
	 */
	public void start() {
		this.control.scheduleWithFixedDelay(ROUND_MILLIS, this::requestStaleTables);
	}

	private void requestStaleTables() {
		List<TableFeed> stale = this.feeds.values()
			.stream()
			.filter((feed) -> !feed.following()
					&& (!feed.reachable() || feed.ageMillis() > STALE_MILLIS + feed.intervalMillis()))
			.toList();
		if (stale.isEmpty()) {
			return;
		}
		for (InetSocketAddress peer : choosePeers(this.peers.get())) {
			PeerLink peerLink = this.links.computeIfAbsent(peer, PeerLink::new);
			stale.forEach(peerLink::request);
			peerLink.unansweredRounds++;
			peerLink.readThenCloseIfSilent();
		}
	}

	private List<InetSocketAddress> choosePeers(Collection<InetSocketAddress> all) {
		List<InetSocketAddress> remaining = new ArrayList<>(all);
		List<InetSocketAddress> chosen = new ArrayList<>(
				remaining.stream().filter(this::mayBeResponding).limit(PEERS_PER_ROUND).toList());
		remaining.removeAll(chosen);
		while (!remaining.isEmpty() && chosen.size() < PEERS_PER_ROUND) {
			chosen.add(remaining.remove(this.random.nextInt(remaining.size())));
		}
		return chosen;
	}

	private boolean mayBeResponding(InetSocketAddress peer) {
		PeerLink peerLink = this.links.get(peer);
		return peerLink != null && peerLink.open && peerLink.unansweredRounds > 0
				&& peerLink.unansweredRounds < MAX_UNANSWERED_ROUNDS;
	}

	/**
	 * Responds to a peer with the records of a table. Those that were sent on the link
	 * before are left out, as the peer applies them first. While the link is not
	 * writable, the response only repeats how old they are, so that newer records replace
	 * each other here and not in the send buffer. Requests for unknown tables are
	 * ignored.
	 * @param link link to the peer
	 * @param request the request
	 */
	public void handleRequest(Link link, Message.RecordsRequest request) {
		this.control.execute(() -> {
			TableFeed feed = this.feeds.get(request.table());
			if (feed != null) {
				link.send(response(link, feed, new Position(request.epoch(), request.fromOffset())));
			}
		});
	}

	private Message.RecordsResponse response(Link link, TableFeed feed, Position requested) {
		Map<String, Sent> sentTables = this.sent.computeIfAbsent(link, (any) -> new HashMap<>());
		Sent last = sentTables.get(feed.table());
		Position start = (last == null || requested.isAfter(last.end())) ? requested : last.end();
		long nowMillis = this.clock.millis();
		if (last != null && start == last.end() && !link.writable()) {
			return new Message.RecordsResponse(feed.table(), start.nextOffset(), nowMillis - last.currentMillis(),
					List.of(), start.nextOffset(), start.epoch());
		}
		KeyedTable records = feed.records();
		Position end = new Position(records.epoch(), records.nextOffset());
		sentTables.put(feed.table(), new Sent(end, nowMillis - feed.ageMillis()));
		KeyedTable.Update update = records.updateSince(start.epoch(), start.nextOffset());
		return new Message.RecordsResponse(feed.table(), end.nextOffset(), feed.ageMillis(), update.records(),
				update.fromOffset(), update.epoch());
	}

	/**
	 * Forgets what was sent on a link.
	 * @param link link to a peer that asked for records, or any other link
	 */
	public void handleClosed(Link link) {
		this.control.execute(() -> this.sent.remove(link));
	}

	private void handleResponse(Message.RecordsResponse response, long ageMillis) {
		TableFeed feed = this.feeds.get(response.table());
		if (feed != null) {
			feed.applyPeerRecords(new KeyedTable.Update(response.fromOffset(), response.records(), response.epoch()),
					response.nextOffset(), ageMillis);
		}
	}

	/**
	 * Link to a peer that is asked for records. Confined to the control thread.
	 */
	private final class PeerLink implements Link.Listener {

		private final InetSocketAddress address;

		private final Link link;

		private boolean open;

		/** Rounds in which this peer was asked since its last response. */
		private int unansweredRounds;

		/** Requests without a response, oldest first. */
		private final Deque<SentRequest> unanswered = new ArrayDeque<>();

		PeerLink(InetSocketAddress address) {
			this.address = address;
			this.link = PeerTableSync.this.transport.open(address, this);
		}

		void request(TableFeed feed) {
			this.unanswered.addLast(new SentRequest(feed.table(), PeerTableSync.this.clock.millis()));
			this.link
				.send(new Message.RecordsRequest(feed.table(), feed.records().nextOffset(), feed.records().epoch()));
		}

		/**
		 * Closes the link if it may have failed without being closed. What has arrived is
		 * read before. Exponential backoff lets a response arrive that takes long on a
		 * slow link.
		 */
		void readThenCloseIfSilent() {
			if (this.unansweredRounds > maxRounds()) {
				this.link.runAfterReads(() -> PeerTableSync.this.control.execute(this::closeIfSilent));
			}
		}

		private int maxRounds() {
			return PeerTableSync.this.extendedRounds.getOrDefault(this.address, MAX_UNANSWERED_ROUNDS);
		}

		private void closeIfSilent() {
			int maxRounds = maxRounds();
			if (this.unansweredRounds > maxRounds) {
				if (this.open) {
					PeerTableSync.this.extendedRounds.put(this.address, Math.min(2 * maxRounds, MAX_EXTENDED_ROUNDS));
				}
				this.link.close();
			}
		}

		/**
		 * Returns how old the records of a response are at least taken to be. The time
		 * since the request counts as well: the response may have been under way for
		 * long, as the link or this process stood still. The peer responds in the order
		 * of the requests, so that those before the one it answers were ignored.
		 * @param response the response
		 * @return age in milliseconds; {@link Integer#MAX_VALUE} if there is no request
		 */
		private long ageMillis(Message.RecordsResponse response) {
			if (this.unanswered.stream().noneMatch((request) -> request.table().equals(response.table()))) {
				return Integer.MAX_VALUE;
			}
			SentRequest request = this.unanswered.pollFirst();
			while (!request.table().equals(response.table())) {
				request = this.unanswered.pollFirst();
			}
			return response.ageMillis() + PeerTableSync.this.clock.millis() - request.sentMillis();
		}

		@Override
		public void opened(Link openedLink) {
			PeerTableSync.this.control.execute(() -> this.open = true);
		}

		@Override
		public void received(Link sender, long version, Message message) {
			if (message instanceof Message.RecordsResponse response) {
				PeerTableSync.this.control.execute(() -> {
					this.unansweredRounds = 0;
					PeerTableSync.this.extendedRounds.remove(this.address);
					handleResponse(response, ageMillis(response));
				});
			}
		}

		@Override
		public void writable(Link writableLink) {
			// Requests are few and small, so backpressure is ignored.
		}

		@Override
		public void closed(Link closedLink) {
			PeerTableSync.this.control.execute(() -> PeerTableSync.this.links.remove(this.address, this));
		}

	}

	/**
	 * How far a host has a table. Immutable.
	 *
	 * @param epoch epoch of its records
	 * @param nextOffset offset that it needs next
	 */
	private record Position(long epoch, long nextOffset) {

		boolean isAfter(Position other) {
			return this.epoch > other.epoch || (this.epoch == other.epoch && this.nextOffset > other.nextOffset);
		}

	}

	/**
	 * What a peer has when it has received everything sent on its link. Immutable.
	 *
	 * @param end how far it has the table
	 * @param currentMillis when that was known to be current, in milliseconds
	 */
	private record Sent(Position end, long currentMillis) {
	}

	/**
	 * A request for records. Immutable.
	 *
	 * @param table name of the table
	 * @param sentMillis when it was sent, in milliseconds
	 */
	private record SentRequest(String table, long sentMillis) {
	}

}
