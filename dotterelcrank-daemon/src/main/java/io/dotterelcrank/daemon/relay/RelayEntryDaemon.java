package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.commons.rng.simple.RandomSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.daemon.wiring.Daemon;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.membership.TargetRegistry;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.process.relay.RelayService;
import io.dotterelcrank.process.replica.KeyedRecord;
import io.dotterelcrank.process.replica.PeerTableSync;
import io.dotterelcrank.process.replica.TableFeed;
import io.dotterelcrank.version.plan.CallerLimits;
import io.dotterelcrank.version.plan.ServingPlan;

/**
 * An entry daemon that passes requests on to targets. The control thread keeps plan and
 * targets current; the traffic thread serves. Thread-safe.
 */
public final class RelayEntryDaemon implements Daemon {

	/**
	 * Longest time that a read of the operators' table waits, in milliseconds; a
	 * connection that went silent must be noticed within 3 s.
	 */
	static final long OPERATORS_WAIT_MILLIS = 1_600;

	/**
	 * Part of the time to stop sending to a leaving target that passes between two reads
	 * of the targets' table.
	 */
	static final double TARGETS_PAUSE_PART = 0.45;

	/** Time between two hand-overs of beliefs to the traffic thread, in milliseconds. */
	static final long BELIEFS_MILLIS = 250;

	/** Time from a planned stop until idle connections are closed, in milliseconds. */
	static final long ROTATION_MILLIS = 3_200;

	/** Part of the grace time after which the process ends whatever runs. */
	static final double GRACE_PART = 0.96;

	/**
	 * Part of the grace time for which new requests are served; the rest is longer than
	 * the routes of calls allow them.
	 */
	static final double SERVE_PART = 0.7;

	/** Time between two looks whether a planned stop is complete, in milliseconds. */
	private static final long STOP_LOOK_MILLIS = 50;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(RelayEntryDaemon.class);

	/** Settings. */
	private final RelayEntrySettings settings;

	/** The platform. */
	private final RelayPlatform platform;

	/** Threads and connections. */
	private final RelayProcess process;

	/** Passes requests on. */
	private final RelayService service;

	/** Targets by their reports; belongs to the control thread. */
	private final TargetRegistry registry;

	/** Data centres taken out; belongs to the control thread. */
	private final Set<String> dataCentresOut = new HashSet<>();

	/** Records exchanged with peers; belongs to the control thread. */
	private final PeerTableSync peers;

	/** Limits for callers. */
	private volatile CallerLimits limits = CallerLimits.INITIAL;

	/** Feed of the operators' table. */
	private TableFeed operators;

	/** Feed of the targets' table. */
	private TableFeed targetsFeed;

	/** Links to sidecars, by the addresses of their engines. */
	private final Map<String, Link> sidecars = new ConcurrentHashMap<>();

	/** Serves callers. */
	private CallerServer callers;

	private RelayEntryDaemon(RelayEntrySettings settings, RelayPlatform platform) {
		this.settings = settings;
		this.platform = platform;
		this.process = new RelayProcess(settings.process(), platform);
		this.service = RelayService.of(this.process.clock(), new LoopScheduler(this.process.loop()),
				HttpTargetClient.of(this.process.exchanges(), platform.dialect()), this::askRoom, settings.relay(),
				RandomSource.XO_RO_SHI_RO_128_PP.create(), this.process.metrics());
		this.registry = TargetRegistry.of(this.process.clock());
		this.peers = PeerTableSync.of(this.process.transport(), this.process.control(), this.process::peers,
				RandomSource.XO_RO_SHI_RO_128_PP.create());
	}

	/**
	 * Makes a daemon.
	 * @param settings settings of the daemon
	 * @param platform the platform that it runs on
	 * @return a daemon that is not started
	 */
	public static RelayEntryDaemon of(RelayEntrySettings settings, RelayPlatform platform) {
		return new RelayEntryDaemon(settings, platform);
	}

	@Override
	public void start() throws IOException {
		AnswerServer.start(this.process.loop(), this.settings.ready(), (path) -> this.service.ready()
				? new AnswerServer.Reply(200, "ready") : new AnswerServer.Reply(503, "not ready"));
		this.callers = CallerServer.start(this.process.loop(), this.settings.callers(), this.service,
				this.platform.dialect(), () -> this.limits, this.process.clock());
		this.process.transport().listen(this.settings.peers(), new PeerListener());
		this.process.serveMetrics(this.service::dump);
		this.process.control().execute(this::follow);
		this.process.loop().execute(this.service::start);
		LogEvent.PROCESS_STARTED.log(logger, "entry", this.settings.process().name(),
				this.settings.process().dataCentre());
	}

	private void follow() {
		this.operators = TableFeed.longPolling(this.platform.operatorsTable(), this.process.store(),
				this.process.clock(), this.process.control(), OPERATORS_WAIT_MILLIS, this::operatorsChanged);
		this.targetsFeed = TableFeed.polling(this.platform.targetsTable(), this.process.store(), this.process.clock(),
				this.process.control(), (long) (this.settings.drainMillis() * TARGETS_PAUSE_PART),
				this::targetsChanged);
		this.peers.add(this.operators);
		this.peers.add(this.targetsFeed);
		this.peers.add(this.process.readMembers(() -> {
		}));
		this.operators.start();
		this.targetsFeed.start();
		this.peers.start();
		this.process.announce(this.settings.peers());
		this.process.control().scheduleWithFixedDelay(BELIEFS_MILLIS, this::tell);
	}

	private void operatorsChanged(List<KeyedRecord> records) {
		for (KeyedRecord record : records) {
			try {
				apply(this.platform.operatorRecord(record));
			}
			catch (PlatformException ex) {
				LogEvent.RECORD_MALFORMED.log(logger, this.platform.operatorsTable(), record.key(), record.offset(),
						ex.getMessage());
			}
		}
		tell();
	}

	private void apply(RelayPlatform.OperatorRecord record) {
		if (record instanceof RelayPlatform.PlanPublished published) {
			ServingPlan plan = published.plan();
			this.limits = plan.limits();
			this.process.loop().execute(() -> this.service.plan(plan));
		}
		else if (record instanceof RelayPlatform.DataCentreChanged changed) {
			if (changed.out()) {
				this.dataCentresOut.add(changed.name());
			}
			else {
				this.dataCentresOut.remove(changed.name());
			}
			this.registry.dataCentresOut(this.dataCentresOut);
		}
	}

	private void targetsChanged(List<KeyedRecord> records) {
		for (KeyedRecord record : records) {
			if (record.deleted()) {
				this.registry.markUnlisted(this.platform.targetId(record));
				continue;
			}
			try {
				this.registry.update(this.platform.targetEntry(record));
			}
			catch (PlatformException ex) {
				LogEvent.RECORD_MALFORMED.log(logger, this.platform.targetsTable(), record.key(), record.offset(),
						ex.getMessage());
			}
		}
		tell();
	}

	private void told(EngineLoad load) {
		if (load.id().isEmpty()) {
			return;
		}
		int colon = load.address().lastIndexOf(':');
		InetSocketAddress address = new InetSocketAddress(load.address().substring(0, colon),
				Integer.parseInt(load.address().substring(colon + 1)));
		this.registry.updateFromSidecar(new TargetRegistration(load.id(), load.service(), address, load.dataCentre(), 0,
				load.leaving(), 0, load.bornMillis(), 0));
	}

	private boolean askRoom(String engine, Message.AdmissionRequest question) {
		Link link = this.sidecars.get(engine);
		if (link == null || !link.writable()) {
			return false;
		}
		link.send(question);
		return true;
	}

	private void tell() {
		List<Target> targets = this.registry.targets(this.targetsFeed.ageMillis() < this.settings.drainMillis());
		long planAgeMillis = this.operators.ageMillis();
		int hosts = Math.max(1, this.process.members().size());
		this.process.loop().execute(() -> {
			this.service.hosts(hosts);
			this.service.updatePlanAge(planAgeMillis);
			this.service.updateTargets(targets);
		});
	}

	@Override
	public void stop() {
		this.process.loop().execute(() -> {
			LogEvent.PROCESS_LEAVING.log(logger, this.settings.process().name(), this.service.activeRequests());
			this.service.startDraining((long) (this.settings.graceMillis() * SERVE_PART));
			this.callers.closeAfterAnswers();
		});
		long beganMillis = this.process.clock().millis();
		boolean complete = false;
		while (!complete) {
			pause();
			long sinceMillis = this.process.clock().millis() - beganMillis;
			if (sinceMillis > ROTATION_MILLIS) {
				this.process.loop().execute(this.callers::closeIdle);
			}
			complete = sinceMillis > this.settings.graceMillis() * GRACE_PART
					|| (sinceMillis > ROTATION_MILLIS && this.service.activeRequests() == 0);
		}
		LogEvent.PROCESS_STOPPED.log(logger, this.settings.process().name(), this.service.activeRequests());
	}

	private static void pause() {
		try {
			Thread.sleep(STOP_LOOK_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void kill() {
		this.process.close();
	}

	/**
	 * Hears peers, which ask for records, and sidecars, which tell loads.
	 */
	private final class PeerListener implements Link.Listener {

		@Override
		public void opened(Link link) {
			// The other side speaks first.
		}

		@Override
		public void received(Link link, long version, Message message) {
			if (message instanceof Message.RecordsRequest question) {
				RelayEntryDaemon.this.peers.handleRequest(link, question);
			}
			else if (message instanceof Message.EngineLoadReport told) {
				EngineLoad load = told.load();
				RelayEntryDaemon.this.sidecars.put(load.address(), link);
				RelayEntryDaemon.this.process.loop().execute(() -> RelayEntryDaemon.this.service.updateLoad(load));
				RelayEntryDaemon.this.process.control().execute(() -> told(load));
				if (told.ackRequested()) {
					link.send(new Message.EngineLoadAck(load.address()));
				}
			}
			else if (message instanceof Message.AdmissionResponse answer) {
				RelayEntryDaemon.this.process.loop()
					.execute(() -> RelayEntryDaemon.this.service.handleAdmissionResponse(answer));
			}
		}

		@Override
		public void writable(Link link) {
			// Answers are small.
		}

		@Override
		public void closed(Link link) {
			RelayEntryDaemon.this.sidecars.values().remove(link);
		}

	}

}
