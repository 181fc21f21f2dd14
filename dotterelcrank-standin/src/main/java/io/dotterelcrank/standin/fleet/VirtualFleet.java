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
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.admission.AdmissionPolicy;
import io.dotterelcrank.process.claim.Claims;
import io.dotterelcrank.process.claim.LogBackedClaims;
import io.dotterelcrank.process.entry.EntryIdentity;
import io.dotterelcrank.process.entry.EntryProcess;
import io.dotterelcrank.process.order.OrderReconciler;
import io.dotterelcrank.process.platform.HostList;
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
import io.dotterelcrank.version.LogClient;
import io.dotterelcrank.version.Setting;

/**
 * A fleet of real entry processes and sidecars over stand-ins, on one manual clock. Runs
 * with the same inputs are reproducible. Confined to one thread.
 */
public final class VirtualFleet {

	/** Model and service name of all engines. */
	public static final String MODEL = "bench-model";

	/** Service name of all plain services. */
	public static final String SERVICE = "desk-ledger";

	/** Retention of the log, in milliseconds. */
	public static final long RETENTION_MILLIS = 4 * 3_600_000L;

	/** Address of all hosts, which differ in their ports. */
	private static final String LOOPBACK = "127.0.0.1";

	/** Initial time of the clock, in milliseconds. */
	private static final long START_MILLIS = 1_000_000;

	/** Time until the host list shows a change, in milliseconds. */
	private static final long HOST_LIST_LAG_MILLIS = 500;

	/** Minimum time between two loads of weights, in milliseconds. */
	private static final long LOAD_INTERVAL_MILLIS = 1_000;

	/** Time that a plain service takes to respond, in milliseconds. */
	private static final long SERVICE_LATENCY_MILLIS = 20;

	/** How long an operator looks for a published change in the log, in milliseconds. */
	private static final long PUBLISH_TIMEOUT_MILLIS = 1_000;

	private final Options options;

	private final Clock.Manual clock = Clock.manual(START_MILLIS);

	private final Scheduler.Manual scheduler = Scheduler.manual(this.clock);

	/** Shared by all processes. */
	private final ExecutionContext executionContext = new ExecutionContext(this.clock, this.scheduler, this.scheduler);

	private final StandinNetwork network = StandinNetwork.withLatency(this.scheduler, 1);

	private final StandinLog log = StandinLog.withRetention(this.clock, RETENTION_MILLIS);

	/**
	 * The log as seen by the processes; reads do not wait, since the clock stands still
	 * meanwhile.
	 */
	private final LogClient nonBlockingLog = new NonBlockingLog(this.log);

	private final StandinHostList hostList = StandinHostList.withLag(this.clock, HOST_LIST_LAG_MILLIS);

	private final StandinWeightStore weightStore = StandinWeightStore.withLoadInterval(this.clock,
			LOAD_INTERVAL_MILLIS);

	/** Engines by name of the target. */
	private final Map<String, StandinEngine> engines = new LinkedHashMap<>();

	/** Services by name of the target. */
	private final Map<String, StandinService> services = new LinkedHashMap<>();

	/** Sidecars by name of the target. */
	private final Map<String, VirtualSidecar> sidecars = new LinkedHashMap<>();

	private final Map<String, VirtualEntry> entries = new LinkedHashMap<>();

	private VirtualFleet(Options options) {
		this.options = options;
	}

	/**
	 * Creates a fleet without processes.
	 * @param options settings of engines and policies
	 * @return an empty fleet
	 */
	public static VirtualFleet of(Options options) {
		return new VirtualFleet(options);
	}

	/**
	 * Adds an engine and starts its sidecar.
	 * @param name name of the target
	 * @param dataCentre data centre of the target
	 */
	public void addEngine(String name, String dataCentre) {
		this.engines.put(name, StandinEngine.start(this.options.engine(), MODEL, MODEL, this.clock, this.scheduler));
		startSidecar(name, dataCentre);
	}

	/**
	 * Adds a plain service and starts its sidecar.
	 * @param name name of the target
	 * @param dataCentre data centre of the target
	 */
	public void addService(String name, String dataCentre) {
		this.services.put(name, StandinService.withLatency(this.scheduler, SERVICE_LATENCY_MILLIS));
		startSidecar(name, dataCentre);
	}

	/**
	 * Starts a sidecar for a target, replacing an earlier one.
	 * @param name name of an engine or service added before
	 * @param dataCentre data centre of the target
	 */
	public void startSidecar(String name, String dataCentre) {
		ConfigurationHolder holder = ConfigurationHolder.create();
		StandinNetwork.Process process = this.network.createProcess(() -> holder.current().version());
		boolean isEngine = this.engines.containsKey(name);
		SidecarIdentity identity = new SidecarIdentity(name, dataCentre, isEngine ? MODEL : SERVICE,
				isEngine ? MODEL : "", this.clock.millis(), this.options.engine().checksFences());
		ConfigurationUpdater updater = ConfigurationUpdater.of(name, this.nonBlockingLog, holder, this.clock,
				this.scheduler, this.scheduler, List::of);
		updater.start();
		Sidecar sidecar = isEngine ? createEngineSidecar(identity, holder, updater)
				: createServiceSidecar(identity, holder, updater);
		int port = listen(process, sidecar);
		this.sidecars.put(name, new VirtualSidecar(sidecar, process, port, dataCentre, holder));
		HostList.Role role = isEngine ? HostList.Role.ENGINE : HostList.Role.SERVICE;
		this.hostList.put(new HostList.Host(name, role, dataCentre, identity.service(), identity.model(), LOOPBACK,
				port, 0, false));
	}

	private Sidecar createEngineSidecar(SidecarIdentity identity, ConfigurationHolder holder,
			ConfigurationUpdater updater) {
		StandinEngine engine = this.engines.get(identity.target());
		OrderReconciler.EngineEndpoint endpoint = new OrderReconciler.EngineEndpoint(identity.service(),
				identity.checksFences(), engine, this.weightStore);
		OrderReconciler reconciler = OrderReconciler.of(endpoint, holder, updater::ageMillis, this.scheduler,
				this.scheduler);
		return Sidecar.startForEngine(identity, engine, reconciler, holder, updater,
				AdmissionPolicy.named(this.options.admission()), this.executionContext);
	}

	private Sidecar createServiceSidecar(SidecarIdentity identity, ConfigurationHolder holder,
			ConfigurationUpdater updater) {
		Claims claims = LogBackedClaims.of(identity.target(), identity.incarnation(), this.nonBlockingLog, this.clock,
				this.scheduler, this.scheduler, Setting.KEY_MEMORY_MILLIS::defaultValue);
		return Sidecar.startForService(identity, this.services.get(identity.target()), claims, holder, updater,
				AdmissionPolicy.forServices(), this.executionContext);
	}

	private static int listen(StandinNetwork.Process process, Sidecar sidecar) {
		try {
			return process.listen(InetSocketAddress.createUnresolved(LOOPBACK, 0), sidecar).getPort();
		}
		catch (IOException ex) {
			throw new IllegalStateException("the stand-in network assigned a port in use", ex);
		}
	}

	/**
	 * Starts an entry process.
	 * @param name name of the entry host
	 * @param dataCentre data centre of the entry host
	 */
	public void addEntry(String name, String dataCentre) {
		ConfigurationHolder holder = ConfigurationHolder.create();
		StandinNetwork.Process process = this.network.createProcess(() -> holder.current().version());
		RoutingPolicy policy = RoutingPolicy.named(this.options.routing(),
				RandomSource.XO_RO_SHI_RO_128_PP.create(this.options.seed() + this.entries.size()));
		EntryProcess entry = EntryProcess.start(new EntryIdentity(name, dataCentre, this.clock.millis()), this.hostList,
				new EntryProcess.ConfigurationAccess(this.nonBlockingLog, holder), policy, process,
				this.executionContext);
		this.entries.put(name, new VirtualEntry(entry, process, holder, dataCentre));
		this.hostList.put(new HostList.Host(name, HostList.Role.ENTRY, dataCentre, "", "", LOOPBACK, 0, 0, false));
	}

	/**
	 * Advances the clock and runs all tasks that become due.
	 * @param millis time to advance, in milliseconds
	 */
	public void advance(long millis) {
		this.scheduler.advance(millis);
	}

	/**
	 * Kills a sidecar without shutdown; its target keeps running.
	 * @param name name of the target
	 */
	public void killSidecar(String name) {
		this.sidecars.get(name).process().kill();
	}

	/**
	 * Kills a sidecar and starts a new one for the same target.
	 * @param name name of the target
	 */
	public void replaceSidecar(String name) {
		killSidecar(name);
		advance(1);
		startSidecar(name, this.sidecars.get(name).dataCentre());
	}

	/**
	 * Publishes changes to the log as an operator.
	 * @param changes changes in order
	 */
	public void publish(Change... changes) {
		try {
			ConfigurationPublisher.of(this.nonBlockingLog, Clock.system(), PUBLISH_TIMEOUT_MILLIS)
				.publish("operator", List.of(changes));
		}
		catch (RequestException ex) {
			throw new IllegalStateException("the change was refused", ex);
		}
	}

	/**
	 * Returns the state of a sidecar.
	 * @param target name of the target
	 * @return the state at the current time
	 */
	public Sidecar.Dump dump(String target) {
		CompletableFuture<Sidecar.Dump> dump = this.sidecars.get(target).sidecar().dumpAsync();
		this.scheduler.runDue();
		return dump.join();
	}

	/**
	 * Returns the configuration holders of all processes that run.
	 * @return holders of the sidecars, then of the entry processes
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
	 * Returns how often a booking was executed.
	 * @param booking request body
	 * @return number of executions over all services
	 */
	public int runCount(String booking) {
		return this.services.values().stream().mapToInt((service) -> service.runCount(booking)).sum();
	}

	/**
	 * Returns the clock of the fleet.
	 * @return the manual clock
	 */
	public Clock.Manual clock() {
		return this.clock;
	}

	/**
	 * Returns the scheduler that runs all processes.
	 * @return the manual scheduler
	 */
	public Scheduler.Manual scheduler() {
		return this.scheduler;
	}

	/**
	 * Returns the network between entry processes and sidecars.
	 * @return the stand-in network
	 */
	public StandinNetwork network() {
		return this.network;
	}

	/**
	 * Returns the log, for fault injection.
	 * @return the stand-in log
	 */
	public StandinLog log() {
		return this.log;
	}

	/**
	 * Returns the log as seen by the processes.
	 * @return the log, whose reads never wait for records
	 */
	public LogClient nonBlockingLog() {
		return this.nonBlockingLog;
	}

	/**
	 * Returns the host list of the fleet.
	 * @return the stand-in host list
	 */
	public StandinHostList hostList() {
		return this.hostList;
	}

	/**
	 * Returns the weight store, which grants the sidecars permits to load weights.
	 * @return the stand-in weight store
	 */
	public StandinWeightStore weightStore() {
		return this.weightStore;
	}

	/**
	 * Returns the engines.
	 * @return live map of engines by name of the target
	 */
	public Map<String, StandinEngine> engines() {
		return this.engines;
	}

	/**
	 * Returns the plain services.
	 * @return live map of services by name of the target
	 */
	public Map<String, StandinService> services() {
		return this.services;
	}

	/**
	 * Returns the sidecars, killed ones included.
	 * @return live map of sidecars by name of the target
	 */
	public Map<String, VirtualSidecar> sidecars() {
		return this.sidecars;
	}

	/**
	 * Returns the entry processes, killed ones included.
	 * @return live map of entry processes by name
	 */
	public Map<String, VirtualEntry> entries() {
		return this.entries;
	}

	/**
	 * Settings of a fleet. Immutable.
	 *
	 * @param engine settings of all engines
	 * @param admission name of the admission policy of the sidecars
	 * @param routing name of the routing policy of the entry processes
	 * @param seed seed of the random generators
	 */
	public record Options(EngineSettings engine, String admission, String routing, long seed) {

		/**
		 * Returns the default settings.
		 * @return warm engines of default size, with forecast admission and affinity
		 * routing
		 */
		public static Options defaults() {
			return new Options(EngineSettings.defaults().startingWarm(), "forecast", "affinity", 1);
		}

		/**
		 * Returns a copy with other engine settings.
		 * @param value settings of all engines
		 * @return the changed copy
		 */
		public Options withEngine(EngineSettings value) {
			return new Options(value, this.admission, this.routing, this.seed);
		}

		/**
		 * Returns a copy with other policies.
		 * @param admissionName name of the admission policy
		 * @param routingName name of the routing policy
		 * @return the changed copy
		 */
		public Options withPolicies(String admissionName, String routingName) {
			return new Options(this.engine, admissionName, routingName, this.seed);
		}

		/**
		 * Returns a copy with another seed.
		 * @param value seed of the random generators
		 * @return the changed copy
		 */
		public Options withSeed(long value) {
			return new Options(this.engine, this.admission, this.routing, value);
		}

	}

	/**
	 * A sidecar of the fleet. Immutable.
	 *
	 * @param sidecar the sidecar
	 * @param process transport of the sidecar, which can be killed
	 * @param port port that accepts links
	 * @param dataCentre data centre of the target
	 * @param holder holds the configuration in force
	 */
	public record VirtualSidecar(Sidecar sidecar, StandinNetwork.Process process, int port, String dataCentre,
			ConfigurationHolder holder) {
	}

	/**
	 * An entry process of the fleet. Immutable.
	 *
	 * @param entry the entry process
	 * @param process transport of the entry process, which can be killed
	 * @param holder holds the configuration in force
	 * @param dataCentre data centre of the entry host
	 */
	public record VirtualEntry(EntryProcess entry, StandinNetwork.Process process, ConfigurationHolder holder,
			String dataCentre) {
	}

	/**
	 * A log whose reads return without waiting for records. Immutable.
	 *
	 * @param log the log to read and append
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
