package io.dotterelcrank.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.simple.RandomSource;

import io.dotterelcrank.process.Clock;
import io.dotterelcrank.process.Scheduler;
import io.dotterelcrank.process.Threads;
import io.dotterelcrank.process.admission.AdmissionPolicy;
import io.dotterelcrank.process.claim.ClaimsThroughLog;
import io.dotterelcrank.process.entry.Entry;
import io.dotterelcrank.process.entry.EntryIdentity;
import io.dotterelcrank.process.order.OrderReconciler;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.process.platform.LogClient;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.process.routing.RoutingPolicy;
import io.dotterelcrank.process.sidecar.Sidecar;
import io.dotterelcrank.process.sidecar.SidecarIdentity;
import io.dotterelcrank.request.Call;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.standin.engine.EngineSettings;
import io.dotterelcrank.standin.engine.StandinEngine;
import io.dotterelcrank.standin.platform.StandinHostList;
import io.dotterelcrank.standin.platform.StandinLog;
import io.dotterelcrank.standin.platform.StandinWeightStore;
import io.dotterelcrank.standin.service.StandinService;
import io.dotterelcrank.standin.transport.StandinNetwork;
import io.dotterelcrank.version.Change;
import io.dotterelcrank.version.ConfigurationFeed;
import io.dotterelcrank.version.ConfigurationHolder;
import io.dotterelcrank.version.ConfigurationPublisher;
import io.dotterelcrank.version.Setting;

/**
 * Entry processes, sidecars and stand-ins on one manual clock. Every run is the same.
 */
final class TestFleet {

	/** Model served by all engines. */
	static final String MODEL = "bench-model";

	/** Name of the plain service. */
	static final String SERVICE = "desk-ledger";

	/** Retention of the log, in milliseconds. */
	static final long RETENTION_MILLIS = 4 * 3_600_000L;

	final Clock.Manual clock = Clock.manual(1_000_000);

	final Scheduler.Manual scheduler = Scheduler.manual(this.clock);

	final Threads threads = new Threads(this.clock, this.scheduler, this.scheduler);

	final StandinNetwork network = StandinNetwork.withLatency(this.scheduler, 1);

	final StandinLog log = StandinLog.keeping(this.clock, RETENTION_MILLIS);

	final StandinHostList hosts = StandinHostList.lagging(this.clock, 500);

	final StandinWeightStore weights = StandinWeightStore.oneLoadEvery(this.clock, 1_000);

	final Map<String, StandinEngine> engines = new LinkedHashMap<>();

	final Map<String, StandinService> services = new LinkedHashMap<>();

	final Map<String, SidecarProcess> sidecars = new LinkedHashMap<>();

	final Map<String, EntryProcess> entries = new LinkedHashMap<>();

	EngineSettings engineSettings = EngineSettings.standard().startingWarm();

	String routing = "affinity";

	private final LogClient nonBlockingLog = new LogClient() {

		@Override
		public long append(String stream, byte[] content) throws PlatformException {
			return TestFleet.this.log.append(stream, content);
		}

		@Override
		public Page read(String stream, long fromOffset, long waitMillis) throws PlatformException {
			return TestFleet.this.log.read(stream, fromOffset, 0);
		}

	};

	void addEngine(String name, String dataCentre) {
		this.engines.put(name, StandinEngine.start(this.engineSettings, MODEL, MODEL, this.clock, this.scheduler));
		startSidecar(name, dataCentre);
	}

	void addService(String name, String dataCentre) {
		this.services.put(name, StandinService.answeringAfter(this.scheduler, 20));
		startSidecar(name, dataCentre);
	}

	void startSidecar(String name, String dataCentre) {
		ConfigurationHolder holder = ConfigurationHolder.create();
		StandinNetwork.Process process = this.network.process(() -> holder.current().version());
		boolean engine = this.engines.containsKey(name);
		SidecarIdentity identity = new SidecarIdentity(name, dataCentre, engine ? MODEL : SERVICE, engine ? MODEL : "",
				this.clock.millis(), this.engineSettings.checksFences());
		ConfigurationFeed feed = ConfigurationFeed.of(name, this.nonBlockingLog, holder, this.clock, this.scheduler,
				this.scheduler, List::of);
		feed.start();
		Sidecar sidecar = engine ? besideEngine(identity, holder, feed) : besideService(identity, holder, feed);
		int port = listen(process, sidecar);
		this.sidecars.put(name, new SidecarProcess(sidecar, process, port, dataCentre, holder));
		HostList.Role role = engine ? HostList.Role.ENGINE : HostList.Role.SERVICE;
		this.hosts.put(new HostList.Host(name, role, dataCentre, identity.service(), identity.model(), "127.0.0.1",
				port, 0, false));
	}

	private Sidecar besideEngine(SidecarIdentity identity, ConfigurationHolder holder, ConfigurationFeed feed) {
		StandinEngine engine = this.engines.get(identity.target());
		OrderReconciler orders = OrderReconciler.of(
				new OrderReconciler.Target(identity.service(), identity.checksFences(), engine, this.weights), holder,
				feed::ageMillis, this.scheduler, this.scheduler);
		return Sidecar.besideEngine(identity, engine, orders, holder, feed, AdmissionPolicy.forEngines(), this.threads);
	}

	private Sidecar besideService(SidecarIdentity identity, ConfigurationHolder holder, ConfigurationFeed feed) {
		ClaimsThroughLog claims = ClaimsThroughLog.of(identity.target(), identity.incarnation(), this.nonBlockingLog,
				this.clock, this.scheduler, this.scheduler, Setting.KEY_MEMORY_MILLIS::standard);
		return Sidecar.besideService(identity, this.services.get(identity.target()), claims, holder, feed,
				AdmissionPolicy.forServices(), this.threads);
	}

	private static int listen(StandinNetwork.Process process, Sidecar sidecar) {
		try {
			return process.listen(InetSocketAddress.createUnresolved("127.0.0.1", 0), sidecar).getPort();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	void addEntry(String name, String dataCentre) {
		ConfigurationHolder holder = ConfigurationHolder.create();
		StandinNetwork.Process process = this.network.process(() -> holder.current().version());
		Entry entry = Entry.start(new EntryIdentity(name, dataCentre, this.clock.millis()), this.hosts,
				new Entry.Platform(this.nonBlockingLog, holder),
				RoutingPolicy.named(this.routing, RandomSource.XO_RO_SHI_RO_128_PP.create(7L)), process, this.threads);
		this.entries.put(name, new EntryProcess(entry, process, holder));
		this.hosts.put(new HostList.Host(name, HostList.Role.ENTRY, dataCentre, "", "", "127.0.0.1", 0, 0, false));
	}

	void advance(long millis) {
		this.scheduler.advance(millis);
	}

	void killSidecar(String name) {
		this.sidecars.get(name).process().kill();
	}

	void replaceSidecar(String name) {
		killSidecar(name);
		advance(10);
		startSidecar(name, this.sidecars.get(name).dataCentre());
	}

	void publish(Change... changes) {
		try {
			ConfigurationPublisher.of(this.nonBlockingLog, Clock.system(), 1_000).publish("test", List.of(changes));
		}
		catch (RequestException ex) {
			throw new IllegalStateException(ex);
		}
	}

	TestCaller stream(String entry, String workspace, int tokens) {
		return generate(entry, workspace, tokens, true, 600_000);
	}

	TestCaller generate(String entry, String workspace, int tokens, boolean streams, long deadlineMillis) {
		TestCaller caller = new TestCaller(streams);
		Generation request = new Generation("", workspace, MODEL, Priority.NORMAL, "[tokens=" + tokens + "] note", 20,
				60_000, deadlineMillis);
		caller.handle = this.entries.get(entry).entry().generate(request, caller);
		return caller;
	}

	TestCaller continueAfter(String entry, TestCaller before) {
		TestCaller caller = new TestCaller(true);
		Generation request = new Generation("", before.workspace, MODEL, Priority.NORMAL, "", 0, 0, 600_000);
		caller.handle = this.entries.get(entry).entry().continueAfter(request, before.lastEvent(), caller);
		return caller;
	}

	TestCallCaller call(String entry, String method, String key, String body, long deadlineMillis) {
		TestCallCaller caller = new TestCallCaller();
		Call call = new Call("", "delegates", SERVICE, Priority.NORMAL, key, method, "/bookings", List.of(),
				body.getBytes(StandardCharsets.UTF_8), deadlineMillis);
		this.entries.get(entry).entry().call(call, caller);
		return caller;
	}

	int runs(String booking) {
		return this.services.values().stream().mapToInt((service) -> service.runsOf(booking)).sum();
	}

	Sidecar.Dump dump(String target) {
		CompletableFuture<Sidecar.Dump> dump = this.sidecars.get(target).sidecar().dumpLater();
		this.scheduler.runDue();
		return dump.join();
	}

	List<ConfigurationHolder> holders() {
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
	 * A sidecar process.
	 *
	 * @param sidecar the sidecar
	 * @param process its transport
	 * @param port port for links
	 * @param dataCentre its data centre
	 * @param holder configuration in force
	 */
	record SidecarProcess(Sidecar sidecar, StandinNetwork.Process process, int port, String dataCentre,
			ConfigurationHolder holder) {
	}

	/**
	 * An entry process.
	 *
	 * @param entry the entry process
	 * @param process its transport
	 * @param holder configuration in force
	 */
	record EntryProcess(Entry entry, StandinNetwork.Process process, ConfigurationHolder holder) {
	}

}
