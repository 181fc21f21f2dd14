package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import org.apache.commons.rng.simple.RandomSource;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.daemon.logs.CountingAppender;
import io.dotterelcrank.process.membership.Member;
import io.dotterelcrank.process.replica.KeyedTableStore;
import io.dotterelcrank.process.replica.TableFeed;

/**
 * Resources that an entry daemon and a sidecar daemon each need: threads, connections,
 * the list of entry hosts, metrics. Every daemon creates its own. Thread-safe, except
 * {@link #members()} and {@link #peers()}, which are confined to the control thread.
 */
final class RelayRuntime {

	/**
	 * Maximum time that the store holds a read of the members table, in milliseconds; the
	 * table changes only when an entry host is added or replaced.
	 */
	private static final long MEMBERS_LONG_POLL_MILLIS = 20_000;

	/**
	 * Time between two reads of the members table while it changes, in milliseconds; all
	 * entry hosts register within a second when a fleet starts.
	 */
	private static final long MEMBERS_PAUSE_MILLIS = 1_500;

	/**
	 * Time for which entry hosts are kept that are missing since the store came back, in
	 * milliseconds; hundreds of them register again, and links to one that is gone fail.
	 */
	private static final long MEMBERS_RETENTION_MILLIS = 10_000;

	private static final double NANOS_PER_MILLI = 1_000_000;

	private final RelayCommonSettings settings;

	/** The traffic thread. */
	private final EventLoop trafficLoop = new NioEventLoopGroup(1).next();

	/** Runs tasks on the control thread. */
	private final Scheduler controlScheduler;

	private final PooledHttpClient httpClient = PooledHttpClient.create(this.trafficLoop);

	private final Transport transport = Transport.overTcp(() -> 0, this.trafficLoop);

	private final MetricRegistry metrics = new MetricRegistry();

	private final KeyedTableStore store;

	private final SkippedRecords skippedMembers = SkippedRecords.of(MemberRegistration.TABLE);

	/** Entry hosts by name; confined to the control thread. */
	private final Map<String, Member> members = new LinkedHashMap<>();

	private RelayRuntime(RelayCommonSettings settings, RelayPlatform platform,
			Function<EventLoop, Scheduler> controlScheduler) {
		this.settings = settings;
		this.controlScheduler = controlScheduler.apply(this.trafficLoop);
		this.store = platform.store(this.httpClient);
		this.metrics.gauge("log.lines.dropped", () -> CountingAppender::dropped);
	}

	/**
	 * Creates the resources of a daemon with a control thread of its own, as decoding a
	 * configuration must not delay the traffic.
	 * @param settings settings of the daemon
	 * @param platform the platform that it runs on
	 * @return the resources
	 */
	static RelayRuntime withControlThread(RelayCommonSettings settings, RelayPlatform platform) {
		return new RelayRuntime(settings, platform, (loop) -> Scheduler.singleThread("control"));
	}

	/**
	 * Creates the resources of a daemon that relays no requests: its control thread is
	 * the traffic thread, so that no message wakes up two threads.
	 * @param settings settings of the daemon
	 * @param platform the platform that it runs on
	 * @return the resources
	 */
	static RelayRuntime withOneThread(RelayCommonSettings settings, RelayPlatform platform) {
		return new RelayRuntime(settings, platform, EventLoopScheduler::new);
	}

	EventLoop trafficLoop() {
		return this.trafficLoop;
	}

	Scheduler controlScheduler() {
		return this.controlScheduler;
	}

	Clock clock() {
		return Clock.system();
	}

	PooledHttpClient httpClient() {
		return this.httpClient;
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
	 * @param onChange runs on the control thread after each change
	 * @return the feed of the members table
	 */
	TableFeed readMembers(Runnable onChange) {
		TableFeed feed = TableFeed.longPolling(MemberRegistration.TABLE, this.store, clock(), this.controlScheduler,
				MEMBERS_LONG_POLL_MILLIS, MEMBERS_PAUSE_MILLIS, (records) -> {
					records.forEach(this::updateMember);
					onChange.run();
				});
		feed.retainFor(MEMBERS_RETENTION_MILLIS);
		this.controlScheduler.execute(feed::start);
		return feed;
	}

	private void updateMember(KeyedRecord record) {
		if (record.deleted()) {
			this.members.remove(record.key());
			this.skippedMembers.forget(record);
			return;
		}
		try {
			this.members.put(record.key(),
					Member.parse(record.key(), new String(record.value(), StandardCharsets.UTF_8)));
			this.skippedMembers.forget(record);
		}
		catch (RuntimeException | Error ex) {
			this.skippedMembers.add(record, ex);
		}
	}

	/**
	 * Registers this process in the members table, and again whenever the table lacks it.
	 * @param feed feed of the members table
	 * @param self this process, with the address at which peers and sidecars connect
	 */
	void register(TableFeed feed, Member self) {
		MemberRegistration registration = MemberRegistration.of(this.store, this.controlScheduler,
				RandomSource.XO_RO_SHI_RO_128_PP.create(), feed.records(), self);
		feed.onListing(registration::handleListing);
		registration.write();
	}

	/**
	 * Returns the addresses of the other entry hosts.
	 * @return registered addresses and seeds, without those of this host
	 */
	Collection<InetSocketAddress> peers() {
		List<InetSocketAddress> addresses = new ArrayList<>();
		members().stream().map(Member::address).forEach(addresses::add);
		this.settings.seeds().stream().filter((seed) -> !addresses.contains(seed)).forEach(addresses::add);
		addresses.removeIf((address) -> address.getAddress().getHostAddress().equals(this.settings.ip()));
		return addresses;
	}

	/**
	 * Returns the registered entry hosts.
	 * @return live view of the hosts; includes this one once it has read its own record
	 */
	Collection<Member> members() {
		return this.members.values();
	}

	/**
	 * Serves metrics and a state dump if a metrics port is configured.
	 * @param dump supplies the dump; called on the traffic thread
	 * @throws IOException if the port cannot be bound
	 */
	void serveMetrics(Supplier<Map<String, Object>> dump) throws IOException {
		if (this.settings.metricsPort() > 0) {
			StatusServer.start(this.trafficLoop, new InetSocketAddress(this.settings.ip(), this.settings.metricsPort()),
					(path) -> switch (path) {
						case "/metrics" -> new StatusServer.TextResponse(200, metricsText());
						case "/state" -> new StatusServer.TextResponse(200, String.valueOf(dump.get()));
						default -> new StatusServer.TextResponse(404, "no such path");
					});
		}
	}

	private String metricsText() {
		StringBuilder text = new StringBuilder();
		this.metrics.getCounters().forEach((name, counter) -> appendMetric(text, name, counter.getCount()));
		this.metrics.getGauges().forEach((name, gauge) -> appendMetric(text, name, gauge.getValue()));
		this.metrics.getTimers().forEach((name, timer) -> appendTimer(text, name, timer));
		return text.toString();
	}

	private static void appendTimer(StringBuilder text, String name, Timer timer) {
		Snapshot snapshot = timer.getSnapshot();
		appendMetric(text, name + ".count", timer.getCount());
		appendMetric(text, name + ".p50", snapshot.getMedian() / NANOS_PER_MILLI);
		appendMetric(text, name + ".p95", snapshot.get95thPercentile() / NANOS_PER_MILLI);
		appendMetric(text, name + ".max", snapshot.getMax() / NANOS_PER_MILLI);
	}

	private static void appendMetric(StringBuilder text, String name, Object value) {
		text.append(name.replaceAll("[^A-Za-z0-9_]", "_")).append(' ').append(value).append('\n');
	}

	void close() {
		this.controlScheduler.close();
		this.transport.close();
		this.trafficLoop.shutdownGracefully();
	}

}
