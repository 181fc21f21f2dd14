package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.daemon.wiring.Daemon;
import io.dotterelcrank.process.relay.AdmissionLedger;
import io.dotterelcrank.process.relay.EngineReport;

/**
 * A sidecar daemon that reports the load of its engine to entry hosts and decides on
 * their admission requests. Requests do not depend on it: without it, entry hosts know
 * only their own requests at the engine. All state is confined to the control thread.
 */
public final class RelaySidecarDaemon implements Daemon {

	/** Interval at which the engine's load is polled, in milliseconds. */
	static final long ENGINE_POLL_MILLIS = 60;

	/**
	 * Maximum interval between load reports, and between requests for an acknowledgement,
	 * in milliseconds.
	 */
	static final long MAX_REPORT_INTERVAL_MILLIS = 1_000;

	/**
	 * Time without a message from the entry host after which a link is replaced, in
	 * milliseconds.
	 */
	static final long LINK_TIMEOUT_MILLIS = 3_000;

	/** Delay before a closed link is reopened, in milliseconds. */
	static final long RECONNECT_DELAY_MILLIS = 500;

	/**
	 * Minimum interval between load reports, unless the engine restarted or started to
	 * leave.
	 */
	static final long MIN_REPORT_INTERVAL_MILLIS = 100;

	/** Used as start time if no engine is known. */
	private static final long NO_ENGINE = -1;

	/**
	 * Change in memory use, as a fraction of the total, that is reported before the
	 * maximum interval.
	 */
	static final double MEMORY_CHANGE_FRACTION = 0.03;

	/**
	 * Change in prompt tokens not yet prefilled that is reported before the maximum
	 * interval; a third of a prompt.
	 */
	static final long PREFILL_CHANGE_TOKENS = 1_000;

	private static final Logger logger = LoggerFactory.getLogger(RelaySidecarDaemon.class);

	private final RelaySidecarSettings settings;

	private final RelayPlatform platform;

	private final RelayProcess process;

	private final Map<InetSocketAddress, EntryLink> links = new HashMap<>();

	/** Start time of the engine whose id was requested. */
	private long idRequestedBornMillis = NO_ENGINE;

	/** Start time of the engine that {@link #engineId} belongs to. */
	private long idKnownBornMillis = NO_ENGINE;

	/** Empty until it is known. */
	private String engineId = "";

	private final AdmissionLedger ledger;

	/** Last reported load, or {@code null}. */
	private EngineLoad lastReported;

	private long lastReportedMillis;

	/** Whether the last poll succeeded. */
	private boolean engineReachable = true;

	private RelaySidecarDaemon(RelaySidecarSettings settings, RelayPlatform platform) {
		this.settings = settings;
		this.platform = platform;
		this.process = new RelayProcess(settings.process(), platform);
		this.ledger = AdmissionLedger.of(this.process.clock());
	}

	/**
	 * Creates a daemon.
	 * @param settings settings of the daemon
	 * @param platform the platform that it runs on
	 * @return a daemon, not started
	 */
	public static RelaySidecarDaemon of(RelaySidecarSettings settings, RelayPlatform platform) {
		return new RelaySidecarDaemon(settings, platform);
	}

	@Override
	public void start() throws IOException {
		this.process.serveMetrics(() -> Map.of("load", String.valueOf(this.lastReported), "links", this.links.size()));
		this.process.readMembers(this::connect);
		this.process.control().execute(() -> {
			connect();
			pollEngine();
		});
		LogEvent.PROCESS_STARTED.log(logger, "sidecar", this.settings.process().name(),
				this.settings.process().dataCentre());
	}

	private void connect() {
		Set<InetSocketAddress> addresses = new HashSet<>(this.process.peers());
		this.links.entrySet().removeIf((link) -> {
			boolean gone = !addresses.contains(link.getKey());
			if (gone) {
				link.getValue().link.close();
			}
			return gone;
		});
		addresses.forEach((address) -> this.links.computeIfAbsent(address, EntryLink::new));
	}

	private void pollEngine() {
		this.platform.fetchEngineReport(this.process.httpClient(), this.settings.engine())
			.whenComplete((report, failure) -> this.process.control().execute(() -> {
				handleEngineReport(report, failure);
				this.process.control().schedule(ENGINE_POLL_MILLIS, this::pollEngine);
			}));
	}

	private void handleEngineReport(EngineReport report, Throwable failure) {
		if (failure != null) {
			if (this.engineReachable) {
				LogEvent.ENGINE_LOAD_UNREADABLE.log(logger, this.settings.engine(), failure.getMessage());
			}
			this.engineReachable = false;
			return;
		}
		this.engineReachable = true;
		long bornMillis = report.load().bornMillis();
		identify(bornMillis);
		EngineLoad identified = report.load()
			.withIdentity((bornMillis == this.idKnownBornMillis) ? this.engineId : "", this.settings.service(),
					this.settings.process().dataCentre());
		this.ledger.updateLoad(identified, report.activeRequests());
		EngineLoad load = this.ledger.load();
		if (reportNeeded(load)) {
			this.lastReported = load;
			this.lastReportedMillis = this.process.clock().millis();
			List.copyOf(this.links.values()).forEach((link) -> link.report(load));
		}
	}

	/**
	 * Responds to an admission request. While the engine's load cannot be read there is
	 * no response, and the entry host decides after a timeout.
	 * @param link link to the entry host
	 * @param request tokens that the request needs
	 */
	private void handleAdmissionRequest(Link link, Message.AdmissionRequest request) {
		if (this.engineReachable && this.ledger.load() != null) {
			boolean admitted = this.ledger.tryAdmit(request);
			link.send(new Message.AdmissionResponse(request.requestNumber(), admitted, this.ledger.load()));
		}
	}

	/**
	 * Fetches the engine's id, once per engine start.
	 * @param bornMillis start time of the engine, in milliseconds
	 */
	private void identify(long bornMillis) {
		if (bornMillis == this.idRequestedBornMillis) {
			return;
		}
		this.idRequestedBornMillis = bornMillis;
		this.platform.fetchEngineId(this.process.httpClient(), this.settings.engine())
			.whenComplete((id, failure) -> this.process.control().execute(() -> {
				if (failure != null) {
					LogEvent.ENGINE_LOAD_UNREADABLE.log(logger, this.settings.engine(), failure.getMessage());
					this.idRequestedBornMillis = NO_ENGINE;
					return;
				}
				LogEvent.ENGINE_IDENTIFIED.log(logger, this.settings.engine(), id, bornMillis);
				this.engineId = id;
				this.idKnownBornMillis = bornMillis;
			}));
	}

	private boolean reportNeeded(EngineLoad load) {
		long elapsedMillis = this.process.clock().millis() - this.lastReportedMillis;
		if (this.lastReported == null || elapsedMillis >= MAX_REPORT_INTERVAL_MILLIS
				|| load.leaving() != this.lastReported.leaving()
				|| load.bornMillis() != this.lastReported.bornMillis()) {
			return true;
		}
		boolean changed = Math.abs(load.memoryUsed() - this.lastReported.memoryUsed()) > load.memoryTotal()
				* MEMORY_CHANGE_FRACTION || load.waiting() != this.lastReported.waiting()
				|| Math.abs(load.unreadTokens() - this.lastReported.unreadTokens()) > PREFILL_CHANGE_TOKENS;
		return changed && elapsedMillis >= MIN_REPORT_INTERVAL_MILLIS;
	}

	@Override
	public void stop() {
		LogEvent.PROCESS_STOPPED.log(logger, this.settings.process().name(), 0);
	}

	@Override
	public void kill() {
		this.process.close();
	}

	/**
	 * Link to one entry host. Confined to the control thread.
	 */
	private final class EntryLink implements Link.Listener {

		private final InetSocketAddress address;

		private final Link link;

		/**
		 * Time of the last message from the entry host, or of the link's creation, in
		 * milliseconds.
		 */
		private long lastReceivedMillis;

		/** Time at which an acknowledgement was last requested, in milliseconds. */
		private long ackRequestedMillis;

		EntryLink(InetSocketAddress address) {
			this.address = address;
			this.lastReceivedMillis = RelaySidecarDaemon.this.process.clock().millis();
			this.link = RelaySidecarDaemon.this.process.transport().open(address, this);
		}

		void report(EngineLoad load) {
			long nowMillis = RelaySidecarDaemon.this.process.clock().millis();
			if (nowMillis - this.lastReceivedMillis > LINK_TIMEOUT_MILLIS) {
				this.link.close();
				return;
			}
			boolean requestAck = nowMillis - this.ackRequestedMillis >= MAX_REPORT_INTERVAL_MILLIS;
			if (requestAck) {
				this.ackRequestedMillis = nowMillis;
			}
			this.link.send(new Message.EngineLoadReport(load, requestAck));
		}

		@Override
		public void opened(Link openedLink) {
			LogEvent.ENTRY_LINKED.log(logger, this.address);
		}

		@Override
		public void received(Link sender, long version, Message message) {
			RelaySidecarDaemon.this.process.control().execute(() -> {
				this.lastReceivedMillis = RelaySidecarDaemon.this.process.clock().millis();
				if (message instanceof Message.AdmissionRequest request) {
					handleAdmissionRequest(sender, request);
				}
			});
		}

		@Override
		public void writable(Link writableLink) {
			// Load reports are small, so no flow control.
		}

		@Override
		public void closed(Link closedLink) {
			RelaySidecarDaemon.this.process.control().schedule(RECONNECT_DELAY_MILLIS, () -> {
				if (RelaySidecarDaemon.this.links.remove(this.address, this)) {
					connect();
				}
			});
		}

	}

}
