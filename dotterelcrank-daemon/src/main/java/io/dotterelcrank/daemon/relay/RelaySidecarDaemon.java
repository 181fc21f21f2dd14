package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.simple.RandomSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.EngineSpeed;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.daemon.wiring.Daemon;
import io.dotterelcrank.process.relay.AdmissionLedger;
import io.dotterelcrank.process.relay.EngineReport;
import io.dotterelcrank.process.relay.LoadReportSchedule;
import io.dotterelcrank.process.replica.PeerTableSync;
import io.dotterelcrank.process.replica.TableFeed;

/**
 * A sidecar daemon that reports the load of its engine to entry hosts and decides on
 * their admission requests. Requests do not depend on it: without it, entry hosts know
 * only their own requests at the engine. State is confined to the control thread; only
 * the state dump and metrics read it on the traffic thread.
 */
public final class RelaySidecarDaemon implements Daemon {

	/** Interval at which the engine's load is polled, in milliseconds. */
	static final long ENGINE_POLL_MILLIS = 60;

	/** Interval between requests for an acknowledgement, in milliseconds. */
	static final long ACK_INTERVAL_MILLIS = 1_000;

	/**
	 * Time without a message from the entry host after which a link is replaced, in
	 * milliseconds.
	 */
	static final long LINK_TIMEOUT_MILLIS = 3_000;

	/**
	 * Time after the start at which entry hosts are asked for the list of all of them if
	 * the store has not responded, in milliseconds. Before, a sidecar reports to the
	 * seeds only.
	 */
	static final long MEMBERS_TIMEOUT_MILLIS = 500;

	/** Delay before a closed link is reopened, in milliseconds. */
	static final long RECONNECT_DELAY_MILLIS = 500;

	/** Factor for figures that are logged with one decimal. */
	private static final double DECIMALS = 10;

	/** Start time that stands for no engine. */
	private static final long NO_ENGINE = -1;

	/** Change in the engine's speed, as a fraction, that is logged. */
	static final double LOGGED_SPEED_CHANGE_FRACTION = 0.5;

	/** Length from which on a stall is logged, in milliseconds. */
	static final long MIN_LOGGED_STALL_MILLIS = 250;

	private static final Logger logger = LoggerFactory.getLogger(RelaySidecarDaemon.class);

	private final RelaySidecarSettings settings;

	private final RelayPlatform platform;

	private final RelayRuntime runtime;

	private final Map<InetSocketAddress, EntryLink> links = new HashMap<>();

	/**
	 * Start time of the engine whose id was last requested; {@link #NO_ENGINE} if the
	 * request failed.
	 */
	private long requestedIdBornMillis = NO_ENGINE;

	/** Start time of the engine that {@link #engineId} belongs to. */
	private long engineIdBornMillis = NO_ENGINE;

	/** Id of the engine's incarnation; empty until it is known. */
	private String engineId = "";

	private final AdmissionLedger ledger;

	private final LoadReportSchedule reportSchedule;

	/** Last logged speed. */
	private EngineSpeed lastLoggedSpeed = EngineSpeed.UNKNOWN;

	/** Whether the last poll succeeded. */
	private boolean engineReachable = true;

	/** How long the engine was stalled at the last poll, in milliseconds. */
	private long stalledMillis;

	/** Whether the present stall was logged. */
	private boolean stallLogged;

	private RelaySidecarDaemon(RelaySidecarSettings settings, RelayPlatform platform) {
		this.settings = settings;
		this.platform = platform;
		this.runtime = RelayRuntime.withOneThread(settings.common(), platform);
		this.ledger = AdmissionLedger.of(this.runtime.clock());
		this.reportSchedule = LoadReportSchedule.of(this.runtime.clock());
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
		this.runtime.serveMetrics(() -> Map.of("load", String.valueOf(this.reportSchedule.lastReport()), "links",
				this.links.size(), "stalledMillis", this.stalledMillis));
		this.runtime.metrics().gauge("speed.prefill-tokens-per-second", () -> () -> speed().prefillTokensPerSecond());
		this.runtime.metrics().gauge("speed.step-millis", () -> () -> speed().stepMillis());
		TableFeed members = this.runtime.readMembers(this::updateLinks);
		this.runtime.controlScheduler().schedule(MEMBERS_TIMEOUT_MILLIS, () -> askPeersUnlessListed(members));
		this.runtime.controlScheduler().execute(() -> {
			updateLinks();
			pollEngine();
		});
		LogEvent.PROCESS_STARTED.log(logger, "sidecar", this.settings.common().name(),
				this.settings.common().dataCentre());
	}

	/**
	 * Asks entry hosts for the list of all of them if the store has not told it by now.
	 * @param members feed of the list
	 */
	private void askPeersUnlessListed(TableFeed members) {
		if (!members.listed()) {
			PeerTableSync peerSync = PeerTableSync.of(this.runtime.transport(), this.runtime.controlScheduler(),
					this.runtime.clock(), this.runtime::peers, RandomSource.XO_RO_SHI_RO_128_PP.create());
			peerSync.add(members);
			peerSync.start();
		}
	}

	/**
	 * Closes links to entry hosts that are no longer listed and opens links to new ones.
	 */
	private void updateLinks() {
		Set<InetSocketAddress> addresses = new HashSet<>(this.runtime.peers());
		this.links.entrySet().removeIf((addressAndLink) -> {
			boolean removed = !addresses.contains(addressAndLink.getKey());
			if (removed) {
				addressAndLink.getValue().link.close();
			}
			return removed;
		});
		addresses.forEach((address) -> this.links.computeIfAbsent(address, EntryLink::new));
	}

	private void pollEngine() {
		fetchEngineReport().whenComplete((report, failure) -> this.runtime.controlScheduler().execute(() -> {
			try {
				handleEngineReport(report, failure);
				logStall();
			}
			finally {
				this.runtime.controlScheduler().schedule(ENGINE_POLL_MILLIS, this::pollEngine);
			}
		}));
	}

	private CompletableFuture<EngineReport> fetchEngineReport() {
		try {
			return this.platform.fetchEngineReport(this.runtime.httpClient(), this.settings.engine());
		}
		catch (RuntimeException | Error ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private void handleEngineReport(EngineReport report, Throwable failure) {
		if (failure != null) {
			if (this.engineReachable) {
				LogEvent.ENGINE_LOAD_UNREADABLE.log(logger, this.settings.engine(), failure.getMessage());
			}
			this.engineReachable = false;
			this.ledger.recordUnreadable();
			return;
		}
		this.engineReachable = true;
		long bornMillis = report.load().bornMillis();
		requestEngineId(bornMillis);
		EngineLoad identified = report.load()
			.withIdentity((bornMillis == this.engineIdBornMillis) ? this.engineId : "", this.settings.service(),
					this.settings.common().dataCentre());
		this.ledger.updateLoad(identified, report.activeRequests());
		EngineLoad load = this.ledger.load();
		logChangedSpeed(load.speed());
		if (this.reportSchedule.isDue(load, this.ledger.typicalPromptTokens())) {
			this.reportSchedule.recordReport(load);
			// One instance of each for all links, so that each is encoded once.
			Message.EngineLoadReport loadReport = new Message.EngineLoadReport(load, false);
			Message.EngineLoadReport reportToAck = new Message.EngineLoadReport(load, true);
			List.copyOf(this.links.values()).forEach((link) -> link.report(loadReport, reportToAck));
		}
	}

	private void logChangedSpeed(EngineSpeed speed) {
		if (speed.differs(this.lastLoggedSpeed, LOGGED_SPEED_CHANGE_FRACTION)) {
			this.lastLoggedSpeed = speed;
			LogEvent.ENGINE_SPEED_CHANGED.log(logger, this.settings.engine(),
					Math.round(speed.prefillTokensPerSecond()), round(speed.stepMillis()),
					round(speed.quietStepMillis()), round(speed.disturbedStepMillis()));
		}
	}

	private static double round(double millis) {
		return Math.round(millis * DECIMALS) / DECIMALS;
	}

	private EngineSpeed speed() {
		EngineLoad reported = this.reportSchedule.lastReport();
		return (reported != null) ? reported.speed() : EngineSpeed.UNKNOWN;
	}

	/**
	 * Logs stalls that last; an engine that is leaving starts nothing by intent.
	 */
	private void logStall() {
		EngineLoad load = this.ledger.load();
		if (load == null) {
			return;
		}
		this.stalledMillis = load.leaving() ? 0 : this.ledger.stalledMillis();
		if (!this.stallLogged && this.stalledMillis >= MIN_LOGGED_STALL_MILLIS) {
			this.stallLogged = true;
			LogEvent.ENGINE_STALLED.log(logger, this.settings.engine(), this.stalledMillis, load);
		}
		else if (this.stallLogged && this.stalledMillis == 0) {
			this.stallLogged = false;
			LogEvent.ENGINE_STALL_ENDED.log(logger, this.settings.engine());
		}
	}

	/**
	 * Responds to an admission request. While the engine's load cannot be read it admits
	 * nothing; before the first report there is no response, and the entry host decides
	 * after a timeout.
	 * @param link link to the entry host
	 * @param request tokens that the request needs
	 */
	private void handleAdmissionRequest(Link link, Message.AdmissionRequest request) {
		if (this.ledger.load() != null) {
			boolean admitted = this.ledger.tryAdmit(request);
			link.send(new Message.AdmissionResponse(request.requestNumber(), admitted, this.ledger.load()));
		}
	}

	/**
	 * Fetches the engine's id, once per engine start.
	 * @param bornMillis start time of the engine, in milliseconds
	 */
	private void requestEngineId(long bornMillis) {
		if (bornMillis == this.requestedIdBornMillis) {
			return;
		}
		this.requestedIdBornMillis = bornMillis;
		fetchEngineId().whenComplete((id, failure) -> this.runtime.controlScheduler().execute(() -> {
			if (failure != null) {
				LogEvent.ENGINE_LOAD_UNREADABLE.log(logger, this.settings.engine(), failure.getMessage());
				this.requestedIdBornMillis = NO_ENGINE;
				return;
			}
			LogEvent.ENGINE_IDENTIFIED.log(logger, this.settings.engine(), id, bornMillis);
			this.engineId = id;
			this.engineIdBornMillis = bornMillis;
		}));
	}

	private CompletableFuture<String> fetchEngineId() {
		try {
			return this.platform.fetchEngineId(this.runtime.httpClient(), this.settings.engine());
		}
		catch (RuntimeException | Error ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	@Override
	public void stop() {
		LogEvent.PROCESS_STOPPED.log(logger, this.settings.common().name(), 0);
	}

	@Override
	public void kill() {
		this.runtime.close();
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
		private long lastAckRequestMillis;

		EntryLink(InetSocketAddress address) {
			this.address = address;
			this.lastReceivedMillis = RelaySidecarDaemon.this.runtime.clock().millis();
			this.link = RelaySidecarDaemon.this.runtime.transport().open(address, this);
		}

		void report(Message.EngineLoadReport report, Message.EngineLoadReport reportToAck) {
			long nowMillis = RelaySidecarDaemon.this.runtime.clock().millis();
			if (nowMillis - this.lastReceivedMillis > LINK_TIMEOUT_MILLIS) {
				this.link.close();
				return;
			}
			boolean requestAck = nowMillis - this.lastAckRequestMillis >= ACK_INTERVAL_MILLIS;
			if (requestAck) {
				this.lastAckRequestMillis = nowMillis;
			}
			this.link.send(requestAck ? reportToAck : report);
		}

		@Override
		public void opened(Link openedLink) {
			LogEvent.ENTRY_LINKED.log(logger, this.address);
		}

		@Override
		public void received(Link sender, long version, Message message) {
			RelaySidecarDaemon.this.runtime.controlScheduler().execute(() -> {
				this.lastReceivedMillis = RelaySidecarDaemon.this.runtime.clock().millis();
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
			RelaySidecarDaemon.this.runtime.controlScheduler().schedule(RECONNECT_DELAY_MILLIS, () -> {
				if (RelaySidecarDaemon.this.links.remove(this.address, this)) {
					updateLinks();
				}
			});
		}

	}

}
