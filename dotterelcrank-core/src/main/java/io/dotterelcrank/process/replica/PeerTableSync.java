package io.dotterelcrank.process.replica;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.apache.commons.rng.UniformRandomProvider;

import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.Transport;

/**
 * Exchanges records of keyed tables with peers while the store does not answer this host.
 * Answers the load pattern of a store that turns some hosts away and serves the others:
 * two peers are asked at a time, so that an outage costs each host a constant number of
 * messages however many hosts there are. All state belongs to the control thread.
 */
public final class PeerTableSync {

	/** Age above which records are asked for, in milliseconds; less than two reads. */
	static final long STALE_MILLIS = 900;

	/** Time between two rounds of asking, in milliseconds. */
	static final long ROUND_MILLIS = 400;

	/** Peers asked in a round. */
	static final int PEERS_ASKED = 2;

	/** Rounds without an answer after which a link is replaced. */
	static final int UNANSWERED_ROUNDS = 3;

	/** Feeds by name of their table. */
	private final Map<String, TableFeed> feeds = new LinkedHashMap<>();

	/** Opens links. */
	private final Transport transport;

	/** The control thread. */
	private final Scheduler control;

	/** Supplies the addresses of peers. */
	private final Supplier<Collection<InetSocketAddress>> peers;

	/** Source of randomness. */
	private final UniformRandomProvider random;

	/** Links to peers that were asked. */
	private final Map<InetSocketAddress, AskedPeer> links = new HashMap<>();

	private PeerTableSync(Transport transport, Scheduler control, Supplier<Collection<InetSocketAddress>> peers,
			UniformRandomProvider random) {
		this.transport = transport;
		this.control = control;
		this.peers = peers;
		this.random = random;
	}

	/**
	 * Creates an exchange without tables.
	 * @param transport opens links
	 * @param control the control thread
	 * @param peers supplies the addresses of peers, without this process
	 * @param random source of randomness
	 * @return a new exchange
	 */
	public static PeerTableSync of(Transport transport, Scheduler control,
			Supplier<Collection<InetSocketAddress>> peers, UniformRandomProvider random) {
		return new PeerTableSync(transport, control, peers, random);
	}

	/**
	 * Adds a table.
	 * @param feed its feed
	 */
	public void add(TableFeed feed) {
		this.feeds.put(feed.table(), feed);
	}

	/**
	 * Starts asking whenever records are old.
	 */
	public void start() {
		this.control.scheduleWithFixedDelay(ROUND_MILLIS, this::round);
	}

	private void round() {
		List<TableFeed> stale = this.feeds.values()
			.stream()
			.filter((feed) -> !feed.reachable() || feed.ageMillis() > STALE_MILLIS + feed.intervalMillis())
			.toList();
		if (stale.isEmpty()) {
			return;
		}
		for (InetSocketAddress peer : some(this.peers.get())) {
			AskedPeer asked = this.links.computeIfAbsent(peer, AskedPeer::new);
			stale.forEach(
					(feed) -> asked.link.send(new Message.RecordsRequest(feed.table(), feed.records().nextOffset())));
			asked.unanswered++;
			if (asked.unanswered > UNANSWERED_ROUNDS) {
				asked.link.close();
			}
		}
	}

	private List<InetSocketAddress> some(Collection<InetSocketAddress> all) {
		List<InetSocketAddress> left = new ArrayList<>(all);
		List<InetSocketAddress> chosen = new ArrayList<>();
		while (!left.isEmpty() && chosen.size() < PEERS_ASKED) {
			chosen.add(left.remove(this.random.nextInt(left.size())));
		}
		return chosen;
	}

	/**
	 * Answers a peer.
	 * @param link link to the peer
	 * @param question what it asks for
	 */
	public void handleRequest(Link link, Message.RecordsRequest question) {
		this.control.execute(() -> {
			TableFeed feed = this.feeds.get(question.table());
			if (feed != null) {
				link.send(new Message.RecordsResponse(question.table(), feed.records().nextOffset(), feed.ageMillis(),
						feed.records().since(question.fromOffset())));
			}
		});
	}

	private void told(Message.RecordsResponse answer) {
		TableFeed feed = this.feeds.get(answer.table());
		if (feed != null) {
			feed.applyPeerRecords(answer.records(), answer.nextOffset(), answer.ageMillis());
		}
	}

	/**
	 * A peer that was asked, and its answers. Belongs to the control thread.
	 */
	private final class AskedPeer implements Link.Listener {

		/** Address of the peer. */
		private final InetSocketAddress address;

		/** Link to the peer. */
		private final Link link;

		/** Rounds since its last answer. */
		private int unanswered;

		AskedPeer(InetSocketAddress address) {
			this.address = address;
			this.link = PeerTableSync.this.transport.open(address, this);
		}

		@Override
		public void opened(Link opened) {
			// Questions sent before wait on the link.
		}

		@Override
		public void received(Link sender, long version, Message message) {
			if (message instanceof Message.RecordsResponse answer) {
				PeerTableSync.this.control.execute(() -> {
					this.unanswered = 0;
					told(answer);
				});
			}
		}

		@Override
		public void writable(Link free) {
			// Questions are few and small.
		}

		@Override
		public void closed(Link ended) {
			PeerTableSync.this.control.execute(() -> PeerTableSync.this.links.remove(this.address, this));
		}

	}

}
