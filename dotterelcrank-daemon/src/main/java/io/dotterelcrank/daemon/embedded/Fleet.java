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
 * A small fleet in one process: stand-ins, sidecars and entry daemons that talk over real
 * sockets on the loopback address. Belongs to one thread.
 */
public final class Fleet implements AutoCloseable {

	/** IP number that everything binds. */
	public static final String LOOPBACK = "127.0.0.1";

	/** How long the stand-in log keeps records, in milliseconds. */
	private static final long RETENTION_MILLIS = 4 * 3_600_000L;

	/** How long the stand-in host list takes to show changes, in milliseconds. */
	private static final long HOST_LIST_LAG_MILLIS = 500;

	/** Time between two loads of weights at the stand-in store, in milliseconds. */
	private static final long LOAD_INTERVAL_MILLIS = 1_000;

	/** Time that a call to a stand-in service takes, in milliseconds. */
	private static final long SERVICE_MILLIS = 5;

	/** How the fleet is set up. */
	private final Plan plan;

	/** The log. */
	private final StandinLog log = StandinLog.withRetention(Clock.system(), RETENTION_MILLIS);

	/** The host list. */
	private final StandinHostList hostList = StandinHostList.withLag(Clock.system(), HOST_LIST_LAG_MILLIS);

	/** Log, host list and weight store behind HTTP. */
	private final PlatformServer platform;

	/** Threads of the stand-ins. */
	private final List<Scheduler> schedulers = new ArrayList<>();

	/** Servers of the stand-ins. */
	private final List<AutoCloseable> servers = new ArrayList<>();

	/** Engines by name of the target. */
	private final Map<String, StandinEngine> engines = new LinkedHashMap<>();

	/** Services by name of the target. */
	private final Map<String, StandinService> services = new LinkedHashMap<>();

	/** Settings of the sidecars, by name of the target. */
	private final Map<String, SidecarSettings> sidecarSettings = new LinkedHashMap<>();

	/** Sidecars by name of the target. */
	private final Map<String, SidecarDaemon> sidecars = new LinkedHashMap<>();

	/** Entry daemons by name. */
	private final Map<String, EntryDaemon> entries = new LinkedHashMap<>();

	private Fleet(Plan plan) throws IOException {
		this.plan = plan;
		this.platform = PlatformServer.start(this.log, this.hostList,
				StandinWeightStore.withLoadInterval(Clock.system(), LOAD_INTERVAL_MILLIS), 0);
	}

	/**
	 * Starts an empty fleet, with only the platform.
	 * @param plan how the fleet is set up
	 * @return a running fleet
	 * @throws IOException if a port cannot be bound
	 */
	public static Fleet start(Plan plan) throws IOException {
		return new Fleet(plan);
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
		Scheduler scheduler = scheduler(name);
		StandinEngine engine = StandinEngine.start(settings, model, model, Clock.system(), scheduler);
		EngineServer server = EngineServer.start(engine, 0);
		this.servers.add(server);
		this.engines.put(name, engine);
		addSidecar(new SidecarSettings(name, dataCentre, model, model, address(server.port()), LOOPBACK, 0, 0, "",
				platformSettings(), this.plan.admission(), settings.checksFences()));
	}

	/**
	 * Adds a plain service with its sidecar.
	 * @param name name of the target
	 * @param dataCentre its data centre
	 * @param service name of the service
	 * @throws IOException if a port cannot be bound
	 */
	public void addService(String name, String dataCentre, String service) throws IOException {
		Scheduler scheduler = scheduler(name);
		StandinService standin = StandinService.withLatency(scheduler, SERVICE_MILLIS);
		ServiceServer server = ServiceServer.start(standin, scheduler, 0);
		this.servers.add(server);
		this.services.put(name, standin);
		addSidecar(new SidecarSettings(name, dataCentre, service, "", address(server.port()), LOOPBACK, 0, 0, "",
				platformSettings(), this.plan.admission(), true));
	}

	private Scheduler scheduler(String name) {
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
		list(settings, sidecar);
	}

	private void list(SidecarSettings settings, SidecarDaemon sidecar) {
		HostList.Role role = settings.model().isEmpty() ? HostList.Role.SERVICE : HostList.Role.ENGINE;
		this.hostList.put(new HostList.Host(settings.name(), role, settings.dataCentre(), settings.service(),
				settings.model(), LOOPBACK, sidecar.port(), sidecar.operatorPort(), false));
	}

	/**
	 * Kills a sidecar and starts another one beside the same target, on another port.
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
		EntryDaemon entry = EntryDaemon
			.of(new EntrySettings(name, dataCentre, LOOPBACK, port, 0, "", platformSettings(), this.plan.routing(), 0));
		entry.start();
		this.entries.put(name, entry);
		this.hostList.put(new HostList.Host(name, HostList.Role.ENTRY, dataCentre, "", "", LOOPBACK, 0,
				entry.operatorPort(), false));
	}

	/**
	 * Waits until every entry daemon is ready and has links to all near targets.
	 * @param limitMillis longest wait in milliseconds
	 * @return whether the fleet is ready
	 */
	public boolean awaitReady(long limitMillis) {
		long deadlineMillis = Clock.system().millis() + limitMillis;
		while (Clock.system().millis() < deadlineMillis) {
			boolean ready = this.entries.values()
				.stream()
				.allMatch((entry) -> entry.entry().ready()
						&& entry.entry().dump().targets().size() == this.sidecars.size());
			if (ready && this.sidecars.values().stream().allMatch((sidecar) -> sidecar.sidecar().dump().ready())) {
				return true;
			}
			Pause.millis(50);
		}
		return false;
	}

	/**
	 * Returns the address of log, host list and weight store.
	 * @return an HTTP address
	 */
	public String platformAddress() {
		return address(this.platform.port());
	}

	/**
	 * Returns the addresses for callers.
	 * @return addresses, one for each entry daemon
	 */
	public List<String> callerAddresses() {
		return this.entries.values().stream().map((entry) -> address(entry.port())).toList();
	}

	/**
	 * Returns the engines.
	 * @return engines by name of the target
	 */
	public Map<String, StandinEngine> engines() {
		return this.engines;
	}

	/**
	 * Returns the services.
	 * @return services by name of the target
	 */
	public Map<String, StandinService> services() {
		return this.services;
	}

	/**
	 * Returns the sidecars.
	 * @return sidecars by name of the target
	 */
	public Map<String, SidecarDaemon> sidecars() {
		return this.sidecars;
	}

	/**
	 * Returns the entry daemons.
	 * @return entry daemons by name
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
				throw new IllegalStateException("a stand-in did not stop", ex);
			}
		}
		this.platform.close();
	}

	/**
	 * How a fleet is set up. Immutable.
	 *
	 * @param admission name of the sidecars' admission policy
	 * @param routing name of the entry daemons' routing policy
	 */
	public record Plan(String admission, String routing) {

		/**
		 * Returns the standard plan.
		 * @return the policies of this system
		 */
		public static Plan standard() {
			return new Plan("forecast", "affinity");
		}

	}

}
