package io.dotterelcrank.daemon.embedded;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.daemon.settings.EntrySettings;
import io.dotterelcrank.daemon.settings.PlatformSettings;
import io.dotterelcrank.daemon.settings.SidecarSettings;
import io.dotterelcrank.daemon.wiring.Daemon;
import io.dotterelcrank.daemon.wiring.EntryDaemon;
import io.dotterelcrank.daemon.wiring.SidecarDaemon;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.standin.engine.EngineSettings;
import io.dotterelcrank.standin.engine.StandinEngine;
import io.dotterelcrank.standin.http.EngineServer;
import io.dotterelcrank.standin.http.PlatformServer;
import io.dotterelcrank.standin.http.ServiceServer;
import io.dotterelcrank.standin.platform.StandinHostList;
import io.dotterelcrank.standin.platform.StandinLog;
import io.dotterelcrank.standin.platform.StandinWeightStore;
import io.dotterelcrank.standin.service.StandinService;

/**
 * Small fleet in one process: stand-ins, sidecars and entry daemons connected over
 * sockets on the loopback address. Not thread-safe.
 */
public final class EmbeddedFleet implements AutoCloseable {

	/** IP address that all servers bind. */
	public static final String LOOPBACK = "127.0.0.1";

	/** How long the stand-in log keeps records, in milliseconds. */
	private static final long LOG_RETENTION_MILLIS = 4 * 3_600_000L;

	/** Delay until the stand-in host list shows a change, in milliseconds. */
	private static final long HOST_LIST_LAG_MILLIS = 500;

	/** Minimum time between two loads at the stand-in weight store, in milliseconds. */
	private static final long WEIGHT_LOAD_INTERVAL_MILLIS = 1_000;

	private static final long SERVICE_LATENCY_MILLIS = 5;

	private final FleetPolicies policies;

	private final StandinLog log = StandinLog.withRetention(Clock.system(), LOG_RETENTION_MILLIS);

	private final StandinHostList hostList = StandinHostList.withLag(Clock.system(), HOST_LIST_LAG_MILLIS);

	/** Serves the log, the host list and the weight store. */
	private final PlatformServer platformServer;

	/** Threads of the stand-in engines and services. */
	private final List<Scheduler> schedulers = new ArrayList<>();

	/** HTTP servers of the stand-in engines and services. */
	private final List<AutoCloseable> servers = new ArrayList<>();

	/** Keyed by target name, as the other maps of targets. */
	private final Map<String, StandinEngine> engines = new LinkedHashMap<>();

	private final Map<String, StandinService> services = new LinkedHashMap<>();

	private final Map<String, SidecarSettings> sidecarSettings = new LinkedHashMap<>();

	private final Map<String, SidecarDaemon> sidecars = new LinkedHashMap<>();

	private final Map<String, EntryDaemon> entries = new LinkedHashMap<>();

	private EmbeddedFleet(FleetPolicies policies) throws IOException {
		this.policies = policies;
		this.platformServer = PlatformServer.start(this.log, this.hostList,
				StandinWeightStore.withLoadInterval(Clock.system(), WEIGHT_LOAD_INTERVAL_MILLIS), 0);
	}

	/**
	 * Starts a fleet with the platform's systems, but without targets and entry daemons.
	 * @param policies policies of the daemons
	 * @return a running fleet
	 * @throws IOException if a port cannot be bound
	 */
	public static EmbeddedFleet start(FleetPolicies policies) throws IOException {
		return new EmbeddedFleet(policies);
	}

	/**
	 * Adds an engine with its sidecar.
	 * @param name name of the target
	 * @param dataCentre its data centre
	 * @param model model served; also the name of the service
	 * @param settings size and speed of the engine
	 * @throws IOException if a port cannot be bound
	 */
	public void addEngine(String name, String dataCentre, String model, EngineSettings settings) throws IOException {
		Scheduler scheduler = newScheduler(name);
		StandinEngine engine = StandinEngine.start(settings, model, model, Clock.system(), scheduler);
		EngineServer server = EngineServer.start(engine, 0);
		this.servers.add(server);
		this.engines.put(name, engine);
		addSidecar(new SidecarSettings(name, dataCentre, model, model, address(server.port()), LOOPBACK, 0, 0, "",
				platformSettings(), this.policies.admission(), settings.checksFences()));
	}

	/**
	 * Adds a plain service with its sidecar.
	 * @param name name of the target
	 * @param dataCentre its data centre
	 * @param service name of the service
	 * @throws IOException if a port cannot be bound
	 */
	public void addService(String name, String dataCentre, String service) throws IOException {
		Scheduler scheduler = newScheduler(name);
		StandinService standinService = StandinService.withLatency(scheduler, SERVICE_LATENCY_MILLIS);
		ServiceServer server = ServiceServer.start(standinService, scheduler, 0);
		this.servers.add(server);
		this.services.put(name, standinService);
		addSidecar(new SidecarSettings(name, dataCentre, service, "", address(server.port()), LOOPBACK, 0, 0, "",
				platformSettings(), this.policies.admission(), true));
	}

	private Scheduler newScheduler(String name) {
		Scheduler scheduler = Scheduler.singleThread("standin-" + name);
		this.schedulers.add(scheduler);
		return scheduler;
	}

	private static String address(int port) {
		return "http://" + LOOPBACK + ":" + port;
	}

	private PlatformSettings platformSettings() {
		String address = platformAddress();
		return new PlatformSettings(address, address, address);
	}

	private void addSidecar(SidecarSettings settings) throws IOException {
		SidecarDaemon sidecar = SidecarDaemon.of(settings);
		sidecar.start();
		this.sidecarSettings.put(settings.name(), settings);
		this.sidecars.put(settings.name(), sidecar);
		addToHostList(settings, sidecar);
	}

	private void addToHostList(SidecarSettings settings, SidecarDaemon sidecar) {
		HostList.Role role = settings.model().isEmpty() ? HostList.Role.SERVICE : HostList.Role.ENGINE;
		this.hostList.put(new HostList.Host(settings.name(), role, settings.dataCentre(), settings.service(),
				settings.model(), LOOPBACK, sidecar.port(), sidecar.operatorPort(), false));
	}

	/**
	 * Kills a sidecar, and starts another one for the same target on another port.
	 * @param name name of the target
	 * @throws IOException if a port cannot be bound
	 */
	public void replaceSidecar(String name) throws IOException {
		this.sidecars.get(name).kill();
		addSidecar(this.sidecarSettings.get(name));
	}

	/**
	 * Adds an entry daemon.
	 * @param name its name
	 * @param dataCentre its data centre
	 * @param port port for callers, or 0 for a free one
	 * @throws IOException if a port cannot be bound
	 */
	public void addEntry(String name, String dataCentre, int port) throws IOException {
		EntryDaemon entry = EntryDaemon.of(new EntrySettings(name, dataCentre, LOOPBACK, port, 0, "",
				platformSettings(), this.policies.routing(), 0));
		entry.start();
		this.entries.put(name, entry);
		this.hostList.put(new HostList.Host(name, HostList.Role.ENTRY, dataCentre, "", "", LOOPBACK, 0,
				entry.operatorPort(), false));
	}

	/**
	 * Waits until every sidecar and entry daemon is ready, and every entry daemon knows
	 * all targets.
	 * @param timeoutMillis maximum wait, in milliseconds
	 * @return whether the fleet became ready in time
	 */
	public boolean awaitReady(long timeoutMillis) {
		long deadlineMillis = Clock.system().millis() + timeoutMillis;
		while (Clock.system().millis() < deadlineMillis) {
			boolean ready = this.entries.values()
				.stream()
				.allMatch((entry) -> entry.entry().ready()
						&& entry.entry().dump().targets().size() == this.sidecars.size());
			if (ready && this.sidecars.values().stream().allMatch((sidecar) -> sidecar.sidecar().dump().ready())) {
				return true;
			}
			Sleeper.sleepMillis(50);
		}
		return false;
	}

	/**
	 * Returns the address of the log, the host list and the weight store.
	 * @return an HTTP URL without a path
	 */
	public String platformAddress() {
		return address(this.platformServer.port());
	}

	/**
	 * Returns the addresses for callers.
	 * @return one HTTP URL without a path for each entry daemon, in the order of addition
	 */
	public List<String> callerAddresses() {
		return this.entries.values().stream().map((entry) -> address(entry.port())).toList();
	}

	/**
	 * Returns the stand-in engines.
	 * @return engines by name of the target, in the order of addition
	 */
	public Map<String, StandinEngine> engines() {
		return this.engines;
	}

	/**
	 * Returns the stand-in plain services.
	 * @return services by name of the target, in the order of addition
	 */
	public Map<String, StandinService> services() {
		return this.services;
	}

	/**
	 * Returns the running sidecars.
	 * @return sidecars by name of the target, in the order of addition
	 */
	public Map<String, SidecarDaemon> sidecars() {
		return this.sidecars;
	}

	/**
	 * Returns the entry daemons.
	 * @return entry daemons by name, in the order of addition
	 */
	public Map<String, EntryDaemon> entries() {
		return this.entries;
	}

	/**
	 * Returns the data centre of a target.
	 * @param target name of the target
	 * @return name of the data centre
	 */
	public String dataCentreOf(String target) {
		return this.sidecarSettings.get(target).dataCentre();
	}

	/**
	 * Returns the log.
	 * @return the stand-in log
	 */
	public StandinLog log() {
		return this.log;
	}

	/**
	 * Returns the host list.
	 * @return the stand-in host list
	 */
	public StandinHostList hostList() {
		return this.hostList;
	}

	@Override
	public void close() {
		this.entries.values().forEach(Daemon::kill);
		this.sidecars.values().forEach(Daemon::kill);
		this.schedulers.forEach(Scheduler::close);
		for (AutoCloseable server : this.servers) {
			try {
				server.close();
			}
			catch (Exception ex) {
				throw new IllegalStateException("a stand-in server failed to stop", ex);
			}
		}
		this.platformServer.close();
	}

	/**
	 * Policies of the daemons of a fleet. Immutable.
	 *
	 * @param admission name of the sidecars' admission policy
	 * @param routing name of the entry daemons' routing policy
	 */
	public record FleetPolicies(String admission, String routing) {

		/**
		 * Returns the default policies.
		 * @return the policies that daemons use if none are configured
		 */
		public static FleetPolicies defaults() {
			return new FleetPolicies("forecast", "affinity");
		}

	}

}
