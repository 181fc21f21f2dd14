package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.daemon.logs.CountingAppender;
import io.dotterelcrank.process.membership.Member;
import io.dotterelcrank.process.replica.KeyedRecord;
import io.dotterelcrank.process.replica.KeyedTableStore;
import io.dotterelcrank.process.replica.TableFeed;

/**
 * What an entry daemon and a sidecar have in common: threads, connections, the list of
 * entry hosts, metrics. Thread-safe, but for {@link #members()}, which belongs to the
 * control thread.
 */
final class RelayProcess {

	/** Table in which entry hosts name themselves. */
	static final String MEMBERS_TABLE = "members";

	/**
	 * Longest time that a read of the members waits, in milliseconds; they change when an
	 * entry host is added or replaced.
	 */
	private static final long MEMBERS_WAIT_MILLIS = 20_000;

	/** Nanoseconds in a millisecond. */
	private static final double NANOS_PER_MILLI = 1_000_000;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(RelayProcess.class);

	/** Settings. */
	private final RelayProcessSettings settings;

	/** The traffic thread. */
	private final EventLoop loop = new NioEventLoopGroup(1).next();

	/** The control thread. */
	private final Scheduler control = Scheduler.singleThread("control");

	/** Connections to targets, engines and the store. */
	private final HttpExchanges exchanges = HttpExchanges.on(this.loop);

	/** Links to peers. */
	private final Transport transport = Transport.overTcp(() -> 0);

	/** Metrics of the process. */
	private final MetricRegistry metrics = new MetricRegistry();

	/** The store. */
	private final KeyedTableStore store;

	/** Entry hosts by name. */
	private final Map<String, Member> members = new LinkedHashMap<>();

	RelayProcess(RelayProcessSettings settings, RelayPlatform platform) {
		this.settings = settings;
		this.store = platform.store(this.exchanges);
		this.metrics.gauge("log.lines.dropped", () -> CountingAppender::dropped);
	}

	EventLoop loop() {
		return this.loop;
	}

	Scheduler control() {
		return this.control;
	}

	Clock clock() {
		return Clock.system();
	}

	HttpExchanges exchanges() {
		return this.exchanges;
	}

	Transport transport() {
		return this.transport;
	}

	MetricRegistry metrics() {
		return this.metrics;
	}

	KeyedTableStore store() {
		return this.store;
	}

	/**
	 * Starts reading the list of entry hosts.
	 * @param changed runs after each change, on the control thread
	 * @return the feed of the list
	 */
	TableFeed readMembers(Runnable changed) {
		TableFeed feed = TableFeed.longPolling(MEMBERS_TABLE, this.store, clock(), this.control, MEMBERS_WAIT_MILLIS,
				(records) -> {
					records.forEach(this::member);
					changed.run();
				});
		this.control.execute(feed::start);
		return feed;
	}

	private void member(KeyedRecord record) {
		if (record.deleted()) {
			this.members.remove(record.key());
			return;
		}
		String text = new String(record.value(), StandardCharsets.UTF_8);
		int colon = text.lastIndexOf(':');
		try {
			this.members.put(record.key(), new Member(record.key(),
					new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)))));
		}
		catch (RuntimeException ex) {
			LogEvent.RECORD_MALFORMED.log(logger, MEMBERS_TABLE, record.key(), record.offset(), ex.getMessage());
		}
	}

	/**
	 * Names this process in the list of entry hosts, until the store has taken it.
	 * @param address address for peers and sidecars
	 */
	void announce(InetSocketAddress address) {
		String text = address.getAddress().getHostAddress() + ':' + address.getPort();
		CompletableFuture<Void> stored = this.store.put(MEMBERS_TABLE, this.settings.name(),
				text.getBytes(StandardCharsets.UTF_8));
		stored.whenComplete((nothing, failure) -> {
			if (failure != null) {
				LogEvent.STORE_UNREACHABLE.log(logger, MEMBERS_TABLE, failure.getMessage());
				this.control.schedule(1_000, () -> announce(address));
			}
		});
	}

	/**
	 * Returns the entry hosts that are known.
	 * @return addresses for peers, seeds included, without this process
	 */
	Collection<InetSocketAddress> peers() {
		List<InetSocketAddress> addresses = new ArrayList<>();
		members().stream().map(Member::address).forEach(addresses::add);
		this.settings.seeds().stream().filter((seed) -> !addresses.contains(seed)).forEach(addresses::add);
		addresses.removeIf((address) -> address.getAddress().getHostAddress().equals(this.settings.ip()));
		return addresses;
	}

	/**
	 * Returns the entry hosts that are known.
	 * @return the hosts, this one included once it has read its own record
	 */
	Collection<Member> members() {
		return this.members.values();
	}

	/**
	 * Serves metrics and a dump, if a port is set.
	 * @param dump supplies the dump, on the traffic thread
	 * @throws IOException if the port cannot be bound
	 */
	void serveMetrics(Supplier<Map<String, Object>> dump) throws IOException {
		if (this.settings.metricsPort() > 0) {
			AnswerServer.start(this.loop, new InetSocketAddress(this.settings.ip(), this.settings.metricsPort()),
					(path) -> switch (path) {
						case "/metrics" -> new AnswerServer.Reply(200, metricsText());
						case "/state" -> new AnswerServer.Reply(200, String.valueOf(dump.get()));
						default -> new AnswerServer.Reply(404, "no such path");
					});
		}
	}

	private String metricsText() {
		StringBuilder text = new StringBuilder();
		this.metrics.getCounters().forEach((name, counter) -> line(text, name, counter.getCount()));
		this.metrics.getGauges().forEach((name, gauge) -> line(text, name, gauge.getValue()));
		this.metrics.getTimers().forEach((name, timer) -> lines(text, name, timer));
		return text.toString();
	}

	private static void lines(StringBuilder text, String name, Timer timer) {
		Snapshot snapshot = timer.getSnapshot();
		line(text, name + ".count", timer.getCount());
		line(text, name + ".p50", snapshot.getMedian() / NANOS_PER_MILLI);
		line(text, name + ".p95", snapshot.get95thPercentile() / NANOS_PER_MILLI);
		line(text, name + ".max", snapshot.getMax() / NANOS_PER_MILLI);
	}

	private static void line(StringBuilder text, String name, Object value) {
		text.append(name.replaceAll("[^A-Za-z0-9_]", "_")).append(' ').append(value).append('\n');
	}

	void close() {
		this.control.close();
		this.transport.close();
		this.loop.shutdownGracefully();
	}

}
