package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.apache.commons.rng.simple.RandomSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Defects;
import io.dotterelcrank.common.IpAddresses;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.KeyedRecord;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.daemon.wiring.Daemon;
import io.dotterelcrank.process.membership.Member;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.membership.TargetRegistry;
import io.dotterelcrank.process.relay.EngineReport;
import io.dotterelcrank.process.relay.RelayClients;
import io.dotterelcrank.process.relay.RelayService;
import io.dotterelcrank.process.relay.RolloutView;
import io.dotterelcrank.process.replica.PeerTableSync;
import io.dotterelcrank.process.replica.ReadSchedule;
import io.dotterelcrank.process.replica.TableFeed;
import io.dotterelcrank.process.replica.TableSharing;
import io.dotterelcrank.version.plan.ServingPlan;

/**
 * An entry daemon that relays requests to targets. The control thread keeps plan and
 * targets up to date; the traffic thread serves requests. Thread-safe.
 */
public final class RelayEntryDaemon implements Daemon {

	/**
	 * Interval at which plan age, targets and the number of entry hosts are passed to the
	 * traffic thread, in milliseconds.
	 */
	static final long SERVICE_UPDATE_MILLIS = 250;

	/**
	 * Interval at which reports of sidecars without news renew the registration of their
	 * target, in milliseconds.
	 */
	private static final long REGISTRY_UPDATE_MILLIS = 500;

	/**
	 * Time for which targets stay listed that are missing since the store came back, in
	 * milliseconds. With the wait for the listing and for the next read, those that have
	 * left get nothing three seconds after the return.
	 */
	private static final long TARGETS_RETENTION_MILLIS = 1_800;

	private static final Logger logger = LoggerFactory.getLogger(RelayEntryDaemon.class);

	private final RelayEntrySettings settings;

	private final RelayPlatform platform;

	private final RelayRuntime runtime;

	private final RelayService service;

	/** Registered targets; confined to the control thread. */
	private final TargetRegistry registry;

	/** Data centres taken out of service; confined to the control thread. */
	private final Set<String> dataCentresOutOfService = new HashSet<>();

	/** Newest plan, if any; confined to the control thread. */
	private Optional<ServingPlan> newestPlan = Optional.empty();

	/** Orders of roll-outs and the decisions on them; confined to the control thread. */
	private final RolloutFeed rollouts;

	/** Exchanges table records with peers; confined to the control thread. */
	private final PeerTableSync peerSync;

	/** Shares reads of the store with peers; confined to the control thread. */
	private final TableSharing sharing;

	private final Member self;

	/** Source and age of each table, for dumps; an immutable snapshot. */
	private volatile Map<String, Object> tableState = Map.of();

	private final SkippedRecords skippedOperatorRecords;

	private final SkippedRecords skippedTargetRecords;

	private TableFeed operatorsFeed;

	private TableFeed targetsFeed;

	/** Links to sidecars, by engine address. */
	private final Map<String, Link> sidecarLinks = new ConcurrentHashMap<>();

	private CallerServer callerServer;

	private RelayEntryDaemon(RelayEntrySettings settings, RelayPlatform platform) {
		this.settings = settings;
		this.platform = platform;
		this.runtime = RelayRuntime.withControlThread(settings.common(), platform);
		this.rollouts = new RolloutFeed(settings, platform, this.runtime, this::updateService);
		RelayClients clients = RelayClients.of(HttpTargetClient.of(this.runtime.httpClient(), platform.messageMapper()))
			.withAdmission(this::requestAdmission)
			.withEngineLoads(this::readEngineLoad)
			.withRetryLoans(new PeerRetryLoanClient(this.runtime.transport(), this.runtime.controlScheduler(),
					this.runtime.clock(), this.runtime::peers, this::addRetryLoan,
					RandomSource.XO_RO_SHI_RO_128_PP.create()))
			.withRatePermits(new PeerRatePermitClient(this.runtime.transport(), this.runtime.controlScheduler(),
					this.runtime.clock(), settings.common().name(), this.runtime::members, this::issueOwnRatePermit,
					this::handleRatePermit))
			.withCrashEvidence(new PeerCrashEvidenceClient(this.runtime.transport(), this.runtime.controlScheduler(),
					this.runtime::peers, (evidence) -> handleCrashEvidence(evidence, (ignored) -> {
					}), RandomSource.XO_RO_SHI_RO_128_PP.create()))
			.withRollouts(this.rollouts.client());
		this.service = RelayService.of(this.runtime.clock(), new EventLoopScheduler(this.runtime.trafficLoop()),
				clients, settings.relay(), RandomSource.XO_RO_SHI_RO_128_PP.create(), this.runtime.metrics());
		this.self = new Member(settings.common().name(), settings.peerAddress(), settings.common().dataCentre(),
				settings.linkMbps());
		this.sharing = TableSharing.of(this.runtime.transport(), this.runtime.controlScheduler(), this.runtime.clock(),
				this.self, this.runtime::members);
		this.registry = TargetRegistry.of(this.runtime.clock(), settings.drainMillis());
		this.skippedOperatorRecords = SkippedRecords.of(platform.operatorsTable());
		this.skippedTargetRecords = SkippedRecords.of(platform.targetsTable());
		this.peerSync = PeerTableSync.of(this.runtime.transport(), this.runtime.controlScheduler(),
				this.runtime.clock(), this.runtime::peers, RandomSource.XO_RO_SHI_RO_128_PP.create());
	}

	/**
	 * Creates a daemon.
	 * @param settings settings of the daemon
	 * @param platform the platform that it runs on
	 * @return a daemon, not started
	 */
	public static RelayEntryDaemon of(RelayEntrySettings settings, RelayPlatform platform) {
		return new RelayEntryDaemon(settings, platform);
	}

	@Override
	public void start() throws IOException {
		StatusServer.start(this.runtime.trafficLoop(), this.settings.readinessAddress(), (path) -> this.service.ready()
				? new StatusServer.TextResponse(200, "ready") : new StatusServer.TextResponse(503, "not ready"));
		this.callerServer = CallerServer.start(this.runtime.trafficLoop(), this.settings.callerAddress(), this.service,
				this.platform.messageMapper(), this.service::callerLimits, this.runtime.clock());
		this.runtime.transport().listen(this.settings.peerAddress(), new PeerListener());
		this.runtime.serveMetrics(this::dump);
		this.runtime.controlScheduler().execute(this::startFeeds);
		this.runtime.trafficLoop().execute(this.service::start);
		LogEvent.PROCESS_STARTED.log(logger, "entry", this.settings.common().name(),
				this.settings.common().dataCentre());
	}

	/**
	 * Returns the state of the daemon.
	 * @return values by name; those of the tables are the last ones passed to the traffic
	 * thread
	 */
	private Map<String, Object> dump() {
		Map<String, Object> dump = new LinkedHashMap<>(this.service.dump());
		dump.putAll(this.tableState);
		return dump;
	}

	private void startFeeds() {
		ReadSchedule operatorsSchedule = ReadSchedule.longPolling(this.settings.relay().configMillis());
		ReadSchedule targetsSchedule = ReadSchedule.polling(this.settings.drainMillis());
		this.operatorsFeed = TableFeed.longPolling(this.platform.operatorsTable(), this.runtime.store(),
				this.runtime.clock(), this.runtime.controlScheduler(), operatorsSchedule.waitMillis(),
				operatorsSchedule.pauseMillis(), this::handleOperatorRecords);
		this.targetsFeed = TableFeed.polling(this.platform.targetsTable(), this.runtime.store(), this.runtime.clock(),
				this.runtime.controlScheduler(), targetsSchedule.pauseMillis(), this::handleTargetRecords);
		this.targetsFeed.retainFor(TARGETS_RETENTION_MILLIS);
		this.rollouts.connect(this.peerSync, this.sharing, this.operatorsFeed);
		this.peerSync.add(this.operatorsFeed);
		this.peerSync.add(this.targetsFeed);
		TableFeed membersFeed = this.runtime.readMembers(() -> {
		});
		this.peerSync.add(membersFeed);
		this.sharing.add(this.operatorsFeed, operatorsSchedule.followMillis());
		this.sharing.add(this.targetsFeed, targetsSchedule.followMillis());
		this.operatorsFeed.start();
		this.targetsFeed.start();
		this.peerSync.start();
		this.sharing.start();
		this.runtime.register(membersFeed, this.self);
		this.runtime.controlScheduler().scheduleWithFixedDelay(SERVICE_UPDATE_MILLIS, this::updateService);
	}

	private void handleOperatorRecords(List<KeyedRecord> records) {
		for (KeyedRecord record : records) {
			try {
				applyOperatorRecord(this.platform.decodeOperatorRecord(record));
				this.skippedOperatorRecords.forget(record);
			}
			catch (PlatformException | RuntimeException | Error ex) {
				this.skippedOperatorRecords.add(record, ex);
			}
		}
		updateService();
	}

	private void applyOperatorRecord(RelayPlatform.OperatorRecord record) {
		if (record instanceof RelayPlatform.PlanPublished published) {
			ServingPlan plan = published.plan();
			boolean newer = this.newestPlan.filter((other) -> other.version() >= plan.version()).isEmpty();
			this.newestPlan = newer ? Optional.of(plan) : this.newestPlan;
		}
		else if (record instanceof RelayPlatform.DataCentreChanged changed) {
			if (changed.outOfService()) {
				this.dataCentresOutOfService.add(changed.name());
			}
			else {
				this.dataCentresOutOfService.remove(changed.name());
			}
			this.registry.updateDataCentresOut(this.dataCentresOutOfService);
		}
		else if (record instanceof RelayPlatform.RolloutOrdered ordered) {
			this.rollouts.updateOrder(ordered.order());
		}
		else if (record instanceof RelayPlatform.RolloutWithdrawn withdrawn) {
			this.rollouts.removeOrder(withdrawn.service());
		}
	}

	private void handleTargetRecords(List<KeyedRecord> records) {
		for (KeyedRecord record : records) {
			if (record.deleted()) {
				this.registry.markUnlisted(this.platform.targetId(record));
				continue;
			}
			try {
				this.registry.update(this.platform.decodeRegistration(record));
				this.skippedTargetRecords.forget(record);
			}
			catch (PlatformException | RuntimeException ex) {
				this.skippedTargetRecords.add(record, ex);
				// The newest record of the key names no target any more.
				this.registry.markUnlisted(this.platform.targetId(record));
			}
			catch (Error ex) {
				this.skippedTargetRecords.add(record, ex);
			}
		}
		updateService();
	}

	private void updateFromSidecar(EngineLoad load) {
		if (load.id().isEmpty()) {
			// The sidecar does not know its engine's id yet.
			return;
		}
		try {
			InetSocketAddress address = IpAddresses.parse(load.address());
			this.registry.updateFromSidecar(new TargetRegistration(load.id(), load.service(), address,
					load.dataCentre(), 0, load.leaving(), 0, load.bornMillis(), 0));
		}
		catch (IllegalArgumentException ex) {
			LogEvent.ENGINE_LOAD_UNREADABLE.log(logger, load.id(), ex.getMessage());
		}
	}

	private boolean requestAdmission(String engineAddress, Message.AdmissionRequest request) {
		Link link = this.sidecarLinks.get(engineAddress);
		if (link == null || !link.writable()) {
			return false;
		}
		link.send(request);
		return true;
	}

	private void readEngineLoad(TargetRegistration engine, Consumer<Optional<EngineReport>> listener) {
		this.platform.fetchEngineReport(this.runtime.httpClient(), engine.address())
			.whenComplete((report, failure) -> onTrafficThread(() -> {
				if (failure != null) {
					LogEvent.ENGINE_LOAD_UNREADABLE.log(logger, engine.address(), failure.getMessage());
				}
				listener.accept(Optional.ofNullable(report));
			}));
	}

	private void addRetryLoan(String serviceName) {
		onTrafficThread(() -> this.service.addRetryLoan(serviceName));
	}

	private void issueOwnRatePermit(Message.RatePermitRequest request) {
		onTrafficThread(() -> this.service.handleRatePermit(this.service.issueRatePermit(request)));
	}

	private void handleRatePermit(Message.RatePermit permit) {
		onTrafficThread(() -> this.service.handleRatePermit(permit));
	}

	private void handleCrashEvidence(Message.CrashEvidence evidence, Consumer<Message> responses) {
		onTrafficThread(() -> this.service.quarantine().handle(evidence).forEach(responses));
	}

	/**
	 * Passes the state kept on the control thread to the traffic thread, in one task: a
	 * plan must not be used with targets or orders from before the changes that came with
	 * it. All of it is passed each time, so that the next task repeats what one has
	 * failed to do.
	 */
	private void updateService() {
		Optional<ServingPlan> plan = this.newestPlan;
		List<Target> targets = this.registry.targets(this.targetsFeed.ageMillis() < this.settings.drainMillis());
		long planAgeMillis = this.operatorsFeed.ageMillis();
		int entryHosts = Math.max(1, this.runtime.members().size());
		RolloutView rolloutView = this.rollouts.view();
		this.tableState = Map.of("tableSources", this.sharing.sources(), "tableAgesMillis",
				Map.of(this.platform.operatorsTable(), planAgeMillis, this.platform.targetsTable(),
						this.targetsFeed.ageMillis()));
		onTrafficThread(() -> Defects.runAll(() -> {
			this.service.updateEntryHosts(entryHosts);
			this.service.rolloutGate().update(rolloutView);
			plan.ifPresent(this.service::updatePlan);
			this.service.updatePlanAge(planAgeMillis);
		}, () -> this.service.updateTargets(targets)));
	}

	private void onTrafficThread(Runnable task) {
		this.runtime.trafficLoop().execute(() -> Defects.isolate(logger, task));
	}

	@Override
	public void stop() {
		PlannedStop plannedStop = PlannedStop.of(new StoppingHost(), this.runtime.clock(),
				new EventLoopScheduler(this.runtime.trafficLoop()), this.settings.relay().graceMillis());
		this.runtime.trafficLoop().execute(() -> {
			LogEvent.PROCESS_STOPPING.log(logger, this.settings.common().name(), this.service.activeRequests());
			plannedStop.start();
		});
		int aborted = plannedStop.awaitEnd().orElseGet(this.service::activeRequests);
		LogEvent.PROCESS_STOPPED.log(logger, this.settings.common().name(), aborted);
	}

	@Override
	public void kill() {
		this.runtime.close();
	}

	/**
	 * This host in a planned stop. Confined to the traffic thread.
	 */
	private final class StoppingHost implements PlannedStop.Host {

		@Override
		public void startDraining(long acceptMillis, long endMillis) {
			RelayEntryDaemon.this.service.startDraining(acceptMillis, endMillis);
			RelayEntryDaemon.this.callerServer.closeAfterResponses();
		}

		@Override
		public boolean tryClose() {
			return RelayEntryDaemon.this.callerServer.closeIfIdle()
					&& RelayEntryDaemon.this.service.activeRequests() == 0;
		}

		@Override
		public int activeRequests() {
			return RelayEntryDaemon.this.service.activeRequests();
		}

		@Override
		public void endActiveRequests() {
			RelayEntryDaemon.this.callerServer.stopAccepting();
			RelayEntryDaemon.this.service.endActiveRequests();
		}

	}

	/**
	 * Handles records that peers push, their requests for records, retry permits and rate
	 * permits, their evidence of crashes and roll-outs, and load reports and admission
	 * responses of sidecars.
	 */
	private final class PeerListener implements Link.Listener {

		/**
		 * Last load report of each sidecar, of which the control thread gets those with
		 * news about the engine, and others at intervals; used on the traffic thread
		 * only.
		 */
		private final Map<Link, EngineLoad> lastLoads = new HashMap<>();

		/** When the control thread last got a report of each sidecar. */
		private final Map<Link, Long> lastForwardedMillis = new HashMap<>();

		@Override
		public void opened(Link link) {
			// The other side sends first.
		}

		@Override
		public void received(Link link, long version, Message message) {
			Defects.isolate(logger, () -> handle(link, message));
		}

		private void handle(Link link, Message message) {
			if (message instanceof Message.RecordsRequest request) {
				RelayEntryDaemon.this.peerSync.handleRequest(link, request);
			}
			else if (message instanceof Message.RecordsPush push) {
				RelayEntryDaemon.this.sharing.handlePush(link, push);
			}
			else if (message instanceof Message.EngineLoadReport report) {
				EngineLoad load = report.load();
				RelayEntryDaemon.this.sidecarLinks.put(load.address(), link);
				onTrafficThread(() -> RelayEntryDaemon.this.service.updateLoad(load));
				EngineLoad former = this.lastLoads.put(link, load);
				long nowMillis = RelayEntryDaemon.this.runtime.clock().millis();
				long forwardedMillis = this.lastForwardedMillis.getOrDefault(link, Long.MIN_VALUE / 2);
				if (nowMillis - forwardedMillis >= REGISTRY_UPDATE_MILLIS || former == null
						|| former.leaving() != load.leaving() || former.bornMillis() != load.bornMillis()
						|| !former.id().equals(load.id())) {
					this.lastForwardedMillis.put(link, nowMillis);
					RelayEntryDaemon.this.runtime.controlScheduler().execute(() -> updateFromSidecar(load));
				}
				if (report.ackRequested()) {
					link.send(new Message.EngineLoadAck(load.address()));
				}
			}
			else if (message instanceof Message.RetryLoanRequest request) {
				onTrafficThread(() -> link.send(new Message.RetryLoan(request.service(),
						RelayEntryDaemon.this.service.tryLendRetry(request.service()))));
			}
			else if (message instanceof Message.RatePermitRequest request) {
				onTrafficThread(() -> link.send(RelayEntryDaemon.this.service.issueRatePermit(request)));
			}
			else if (message instanceof Message.CrashEvidence evidence) {
				handleCrashEvidence(evidence, link::send);
			}
			else if (message instanceof Message.RolloutEvidence evidence) {
				onTrafficThread(() -> RelayEntryDaemon.this.service.rolloutGate().handleEvidence(evidence));
			}
			else if (message instanceof Message.AdmissionResponse response) {
				onTrafficThread(() -> RelayEntryDaemon.this.service.handleAdmissionResponse(response));
			}
		}

		@Override
		public void writable(Link link) {
			// Messages are small, so no flow control.
		}

		@Override
		public void closed(Link link) {
			RelayEntryDaemon.this.sidecarLinks.values().remove(link);
			RelayEntryDaemon.this.peerSync.handleClosed(link);
			this.lastLoads.remove(link);
			this.lastForwardedMillis.remove(link);
		}

	}

}
