package io.dotterelcrank.standin.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.simple.RandomSource;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.ExecutionContext;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.admission.AdmissionPolicy;
import io.dotterelcrank.process.claim.Claims;
import io.dotterelcrank.process.claim.LogBackedClaims;
import io.dotterelcrank.process.entry.EntryIdentity;
import io.dotterelcrank.process.entry.EntryProcess;
import io.dotterelcrank.process.order.OrderReconciler;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.process.platform.LogClient;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.process.routing.RoutingPolicy;
import io.dotterelcrank.process.sidecar.Sidecar;
import io.dotterelcrank.process.sidecar.SidecarIdentity;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.standin.engine.EngineSettings;
import io.dotterelcrank.standin.engine.StandinEngine;
import io.dotterelcrank.standin.platform.StandinHostList;
import io.dotterelcrank.standin.platform.StandinLog;
import io.dotterelcrank.standin.platform.StandinWeightStore;
import io.dotterelcrank.standin.service.StandinService;
import io.dotterelcrank.standin.transport.StandinNetwork;
import io.dotterelcrank.version.Change;
import io.dotterelcrank.version.ConfigurationHolder;
import io.dotterelcrank.version.ConfigurationPublisher;
import io.dotterelcrank.version.ConfigurationUpdater;
import io.dotterelcrank.version.Setting;

/**
 * A small fleet on one manual clock: the daemons' own classes over fakes. Two runs with
 * the same inputs are equal. Belongs to one thread.
 */
public final class VirtualFleet {

	/** Model served by all engines. */
	public static final String MODEL = "bench-model";

	/** Name of the plain service. */
	public static final String SERVICE = "desk-ledger";

	/** Retention of the log, in milliseconds. */
	public static final long RETENTION_MILLIS = 4 * 3_600_000L;

	/** IP number that everything binds. */
	private static final String LOOPBACK = "127.0.0.1";

	/** First time that the clock shows, in milliseconds. */
	private static final long START_MILLIS = 1_000_000;

	/** How long the host list takes to show changes, in milliseconds. */
	private static final long HOST_LIST_LAG_MILLIS = 500;

	/** Time between two loads of weights, in milliseconds. */
	private static final long LOAD_INTERVAL_MILLIS = 1_000;

	/** Time that a call to a plain service takes, in milliseconds. */
	private static final long SERVICE_MILLIS = 20;

	/** How long an operator looks for a change in the log, in milliseconds. */
	private static final long PUBLISH_LIMIT_MILLIS = 1_000;

	/** How the fleet is set up. */
	private final Plan plan;

	/** The clock. */
	private final Clock.Manual clock = Clock.manual(START_MILLIS);

	/** Runs everything. */
	private final Scheduler.Manual scheduler = Scheduler.manual(this.clock);

	/** Clock and threads of every process. */
	private final ExecutionContext threads = new ExecutionContext(this.clock, this.scheduler, this.scheduler);

	/** The network. */
	private final StandinNetwork network = StandinNetwork.withLatency(this.scheduler, 1);

	/** The log. */
	private final StandinLog log = StandinLog.withRetention(this.clock, RETENTION_MILLIS);

	/** The log without waiting for records, since the clock stands still meanwhile. */
	private final LogClient nonBlockingLog = new NonBlockingLog(this.log);

	/** The host list. */
	private final StandinHostList hostList = StandinHostList.withLag(this.clock, HOST_LIST_LAG_MILLIS);

	/** The weight store. */
	private final StandinWeightStore weightStore = StandinWeightStore.withLoadInterval(this.clock,
			LOAD_INTERVAL_MILLIS);

	/** Engines by name of the target. */
	private final Map<String, StandinEngine> engines = new LinkedHashMap<>();

	/** Services by name of the target. */
	private final Map<String, StandinService> services = new LinkedHashMap<>();

	/** Sidecars by name of the target. */
	private final Map<String, VirtualSidecar> sidecars = new LinkedHashMap<>();

	/** Entry processes by name. */
	private final Map<String, VirtualEntry> entries = new LinkedHashMap<>();

	private VirtualFleet(Plan plan) {
		this.plan = plan;
	}

	/**
	 * Creates a fleet without processes.
	 * @param plan how the fleet is set up
	 * @return a new fleet
	 */
	public static VirtualFleet of(Plan plan) {
		return new VirtualFleet(plan);
	}

	/**
	 * Adds an engine with its sidecar.
	 * @param name name of the target
	 * @param dataCentre its data centre
	 */
	public void addEngine(String name, String dataCentre) {
		this.engines.put(name, StandinEngine.start(this.plan.engine(), MODEL, MODEL, this.clock, this.scheduler));
		startSidecar(name, dataCentre);
	}

	/**
	 * Adds a plain service with its sidecar.
	 * @param name name of the target
	 * @param dataCentre its data centre
	 */
	public void addService(String name, String dataCentre) {
		this.services.put(name, StandinService.withLatency(this.scheduler, SERVICE_MILLIS));
		startSidecar(name, dataCentre);
	}

	/**
	 * Starts a sidecar beside a target, which may have had one before.
	 * @param name name of the target
	 * @param dataCentre its data centre
	 */
	public void startSidecar(String name, String dataCentre) {
		ConfigurationHolder holder = ConfigurationHolder.create();
		StandinNetwork.Process process = this.network.createProcess(() -> holder.current().version());
		boolean engine = this.engines.containsKey(name);
		SidecarIdentity identity = new SidecarIdentity(name, dataCentre, engine ? MODEL : SERVICE, engine ? MODEL : "",
				this.clock.millis(), this.plan.engine().checksFences());
		ConfigurationUpdater feed = ConfigurationUpdater.of(name, this.nonBlockingLog, holder, this.clock,
				this.scheduler, this.scheduler, List::of);
		feed.start();
		Sidecar sidecar = engine ? besideEngine(identity, holder, feed) : besideService(identity, holder, feed);
		int port = listen(process, sidecar);
		this.sidecars.put(name, new VirtualSidecar(sidecar, process, port, dataCentre, holder));
		HostList.Role role = engine ? HostList.Role.ENGINE : HostList.Role.SERVICE;
		this.hostList.put(new HostList.Host(name, role, dataCentre, identity.service(), identity.model(), LOOPBACK,
				port, 0, false));
	}

	private Sidecar besideEngine(SidecarIdentity identity, ConfigurationHolder holder, ConfigurationUpdater feed) {
		StandinEngine engine = this.engines.get(identity.target());
		OrderReconciler.EngineEndpoint target = new OrderReconciler.EngineEndpoint(identity.service(),
				identity.checksFences(), engine, this.weightStore);
		OrderReconciler orders = OrderReconciler.of(target, holder, feed::ageMillis, this.scheduler, this.scheduler);
		return Sidecar.besideEngine(identity, engine, orders, holder, feed,
				AdmissionPolicy.named(this.plan.admission()), this.threads);
	}

	private Sidecar besideService(SidecarIdentity identity, ConfigurationHolder holder, ConfigurationUpdater feed) {
		Claims claims = LogBackedClaims.of(identity.target(), identity.incarnation(), this.nonBlockingLog, this.clock,
				this.scheduler, this.scheduler, Setting.KEY_MEMORY_MILLIS::defaultValue);
		return Sidecar.besideService(identity, this.services.get(identity.target()), claims, holder, feed,
				AdmissionPolicy.forServices(), this.threads);
	}

	private static int listen(StandinNetwork.Process process, Sidecar sidecar) {
		try {
			return process.listen(InetSocketAddress.createUnresolved(LOOPBACK, 0), sidecar).getPort();
		}
		catch (IOException ex) {
			throw new IllegalStateException("the stand-in network gives out free ports", ex);
		}
	}

	/**
	 * Adds an entry process.
	 * @param name its name
	 * @param dataCentre its data centre
	 */
	public void addEntry(String name, String dataCentre) {
		ConfigurationHolder holder = ConfigurationHolder.create();
		StandinNetwork.Process process = this.network.createProcess(() -> holder.current().version());
		RoutingPolicy policy = RoutingPolicy.named(this.plan.routing(),
				RandomSource.XO_RO_SHI_RO_128_PP.create(this.plan.seed() + this.entries.size()));
		EntryProcess entry = EntryProcess.start(new EntryIdentity(name, dataCentre, this.clock.millis()), this.hostList,
				new EntryProcess.ConfigurationAccess(this.nonBlockingLog, holder), policy, process, this.threads);
		this.entries.put(name, new VirtualEntry(entry, process, holder, dataCentre));
		this.hostList.put(new HostList.Host(name, HostList.Role.ENTRY, dataCentre, "", "", LOOPBACK, 0, 0, false));
	}

	/**
	 * Moves the clock forward, running everything that falls due.
	 * @param millis how far, in milliseconds
	 */
	public void advance(long millis) {
		this.scheduler.advance(millis);
	}

	/**
	 * Kills a sidecar.
	 * @param name name of the target
	 */
	public void killSidecar(String name) {
		this.sidecars.get(name).process().kill();
	}

	/**
	 * Kills a sidecar, and starts another one beside the same target.
	 * @param name name of the target
	 */
	public void replaceSidecar(String name) {
		killSidecar(name);
		advance(1);
		startSidecar(name, this.sidecars.get(name).dataCentre());
	}

	/**
	 * Publishes changes as an operator does.
	 * @param changes the changes, in order
	 */
	public void publish(Change... changes) {
		try {
			ConfigurationPublisher.of(this.nonBlockingLog, Clock.system(), PUBLISH_LIMIT_MILLIS)
				.publish("operator", List.of(changes));
		}
		catch (RequestException ex) {
			throw new IllegalStateException("a change was refused", ex);
		}
	}

	/**
	 * Returns the state of a sidecar.
	 * @param target name of the target
	 * @return what a dump shows
	 */
	public Sidecar.Dump dump(String target) {
		CompletableFuture<Sidecar.Dump> dump = this.sidecars.get(target).sidecar().dumpAsync();
		this.scheduler.runDue();
		return dump.join();
	}

	/**
	 * Returns the configurations in force.
	 * @return holders of all processes that run
	 */
	public List<ConfigurationHolder> configurationHolders() {
		List<ConfigurationHolder> holders = new ArrayList<>();
		this.sidecars.values()
			.stream()
			.filter((sidecar) -> sidecar.process().alive())
			.forEach((sidecar) -> holders.add(sidecar.holder()));
		this.entries.values()
			.stream()
			.filter((entry) -> entry.process().alive())
			.forEach((entry) -> holders.add(entry.holder()));
		return holders;
	}

	/**
	 * Returns how often a body ran at any service.
	 * @param booking the body
	 * @return number of runs
	 */
	public int runCount(String booking) {
		return this.services.values().stream().mapToInt((service) -> service.runCount(booking)).sum();
	}

	/**
	 * Returns the clock.
	 * @return the manual clock
	 */
	public Clock.Manual clock() {
		return this.clock;
	}

	/**
	 * Returns the scheduler.
	 * @return the manual scheduler
	 */
	public Scheduler.Manual scheduler() {
		return this.scheduler;
	}

	/**
	 * Returns the network.
	 * @return the stand-in network
	 */
	public StandinNetwork network() {
		return this.network;
	}

	/**
	 * Returns the log.
	 * @return the stand-in log
	 */
	public StandinLog log() {
		return this.log;
	}

	/**
	 * Returns the log as the processes see it.
	 * @return the log, which never waits for records
	 */
	public LogClient nonBlockingLog() {
		return this.nonBlockingLog;
	}

	/**
	 * Returns the host list.
	 * @return the stand-in host list
	 */
	public StandinHostList hostList() {
		return this.hostList;
	}

	/**
	 * Returns the weight store.
	 * @return the stand-in weight store
	 */
	public StandinWeightStore weightStore() {
		return this.weightStore;
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
	public Map<String, VirtualSidecar> sidecars() {
		return this.sidecars;
	}

	/**
	 * Returns the entry processes.
	 * @return entry processes by name
	 */
	public Map<String, VirtualEntry> entries() {
		return this.entries;
	}

	/**
	 * How a fleet is set up. Immutable.
	 *
	 * @param engine size and speed of the engines
	 * @param admission name of the sidecars' admission policy
	 * @param routing name of the entry processes' routing policy
	 * @param seed seed of the random sources
	 */
	public record Plan(EngineSettings engine, String admission, String routing, long seed) {

		/**
		 * Returns the standard plan.
		 * @return warm engines of usual size, and the policies of this system
		 */
		public static Plan defaults() {
			return new Plan(EngineSettings.defaults().startingWarm(), "forecast", "affinity", 1);
		}

		/**
		 * Returns a copy with other engines.
		 * @param value size and speed of the engines
		 * @return the changed copy
		 */
		public Plan withEngine(EngineSettings value) {
			return new Plan(value, this.admission, this.routing, this.seed);
		}

		/**
		 * Returns a copy with other policies.
		 * @param admissionName name of the admission policy
		 * @param routingName name of the routing policy
		 * @return the changed copy
		 */
		public Plan withPolicies(String admissionName, String routingName) {
			return new Plan(this.engine, admissionName, routingName, this.seed);
		}

		/**
		 * Returns a copy with another seed.
		 * @param value seed of the random sources
		 * @return the changed copy
		 */
		public Plan withSeed(long value) {
			return new Plan(this.engine, this.admission, this.routing, value);
		}

	}

	/**
	 * A sidecar process. Immutable.
	 *
	 * @param sidecar the sidecar
	 * @param process its transport
	 * @param port port for links
	 * @param dataCentre its data centre
	 * @param holder configuration in force
	 */
	public record VirtualSidecar(Sidecar sidecar, StandinNetwork.Process process, int port, String dataCentre,
			ConfigurationHolder holder) {
	}

	/**
	 * An entry process. Immutable.
	 *
	 * @param entry the entry process
	 * @param process its transport
	 * @param holder configuration in force
	 * @param dataCentre its data centre
	 */
	public record VirtualEntry(EntryProcess entry, StandinNetwork.Process process, ConfigurationHolder holder,
			String dataCentre) {
	}

	/**
	 * A log that is read without waiting. Immutable.
	 *
	 * @param log the log
	 */
	private record NonBlockingLog(StandinLog log) implements LogClient {

		@Override
		public long append(String stream, byte[] content) throws PlatformException {
			return this.log.append(stream, content);
		}

		@Override
		public Page read(String stream, long fromOffset, long waitMillis) throws PlatformException {
			return this.log.read(stream, fromOffset, 0);
		}

	}

}
