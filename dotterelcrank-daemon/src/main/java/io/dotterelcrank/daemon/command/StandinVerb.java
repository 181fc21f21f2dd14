package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.daemon.embedded.EmbeddedFleet;
import io.dotterelcrank.daemon.settings.SettingsReader;
import io.dotterelcrank.daemon.wiring.Daemon;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.request.RequestException;
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
 * Runs stand-ins for the platform's systems, for one engine in each of two data centres
 * and for one plain service. Prints the commands that start daemons for them.
 */
@Command(name = "standin", description = "Run stand-ins for the platform, two engines and a plain service")
public class StandinVerb implements Verb {

	/** Offset of the engines' and services' ports from the base port. */
	private static final int TARGET_PORT_OFFSET = 100;

	/** Offset of the sidecars' link ports from the base port. */
	private static final int LINK_PORT_OFFSET = 200;

	/**
	 * Offset of the sidecars' operator ports from the base port. Those of the entry
	 * daemons lie {@link #TARGET_PORT_OFFSET} above.
	 */
	private static final int OPERATOR_PORT_OFFSET = 300;

	/** Leaves the ports above it for the offsets. */
	private static final int MAX_BASE_PORT = 60_000;

	private static final long LOG_RETENTION_MILLIS = 4 * 3_600_000L;

	/**
	 * Delay of changes to the host list, and interval between loads at the weight store,
	 * in milliseconds.
	 */
	private static final long PLATFORM_DELAY_MILLIS = 1_000;

	@Option(name = "--base-port", title = "PORT",
			description = "Port of the platform; other ports are counted from it (default 7000)")
	String basePort;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		SettingsReader reader = SettingsReader.of(System.getenv());
		int port = (int) reader.number("base-port", this.basePort, "7000", 1, MAX_BASE_PORT);
		reader.throwIfInvalid();
		StandinDaemon standins = new StandinDaemon(port);
		DaemonRunner.run(standins, () -> standins.daemonCommands().forEach(out::println));
		return ExitCode.SUCCESS;
	}

	/**
	 * Runs the stand-ins as a daemon. Not thread-safe.
	 */
	private static final class StandinDaemon implements Daemon {

		private final int basePort;

		private final StandinHostList hosts = StandinHostList.withLag(Clock.system(), PLATFORM_DELAY_MILLIS);

		/** Commands to print. */
		private final List<String> daemonCommands = new ArrayList<>();

		private final List<AutoCloseable> servers = new ArrayList<>();

		StandinDaemon(int basePort) {
			this.basePort = basePort;
		}

		@Override
		public void start() throws IOException {
			StandinLog log = StandinLog.withRetention(Clock.system(), LOG_RETENTION_MILLIS);
			StandinWeightStore weights = StandinWeightStore.withLoadInterval(Clock.system(), PLATFORM_DELAY_MILLIS);
			this.servers.add(PlatformServer.start(log, this.hosts, weights, this.basePort));
			addEngine(0, "engine-a", "dc-a");
			addEngine(1, "engine-b", "dc-b");
			addService(2, "desk-a", "dc-a");
			addEntry(0, "entry-a", "dc-a");
			addEntry(1, "entry-b", "dc-b");
		}

		private void addEngine(int index, String name, String dataCentre) throws IOException {
			Scheduler scheduler = Scheduler.singleThread(name);
			StandinEngine engine = StandinEngine.start(EngineSettings.defaults(), "bench-model", "bench-model",
					Clock.system(), scheduler);
			this.servers.add(EngineServer.start(engine, this.basePort + TARGET_PORT_OFFSET + index));
			addSidecar(index, name, dataCentre, HostList.Role.ENGINE, "bench-model", "bench-model");
		}

		private void addService(int index, String name, String dataCentre) throws IOException {
			Scheduler scheduler = Scheduler.singleThread(name);
			StandinService service = StandinService.withLatency(scheduler, 1);
			this.servers.add(ServiceServer.start(service, scheduler, this.basePort + TARGET_PORT_OFFSET + index));
			addSidecar(index, name, dataCentre, HostList.Role.SERVICE, "desk-ledger", "");
		}

		private void addSidecar(int index, String name, String dataCentre, HostList.Role role, String service,
				String model) {
			int linkPort = this.basePort + LINK_PORT_OFFSET + index;
			int operatorPort = this.basePort + OPERATOR_PORT_OFFSET + index;
			this.hosts.put(new HostList.Host(name, role, dataCentre, service, model, EmbeddedFleet.LOOPBACK, linkPort,
					operatorPort, false));
			this.daemonCommands.add("bin/dotterelcrank sidecar --name " + name + " --data-centre " + dataCentre
					+ " --service " + service + (model.isEmpty() ? "" : " --model " + model) + " --target "
					+ address(this.basePort + TARGET_PORT_OFFSET + index) + " --port " + linkPort + " --operator-port "
					+ operatorPort + " --platform " + address(this.basePort));
		}

		private void addEntry(int index, String name, String dataCentre) {
			int operatorPort = this.basePort + OPERATOR_PORT_OFFSET + TARGET_PORT_OFFSET + index;
			this.hosts.put(new HostList.Host(name, HostList.Role.ENTRY, dataCentre, "", "", EmbeddedFleet.LOOPBACK, 0,
					operatorPort, false));
			this.daemonCommands.add("bin/dotterelcrank entry --name " + name + " --data-centre " + dataCentre
					+ " --port " + (8080 + index) + " --operator-port " + operatorPort + " --platform "
					+ address(this.basePort));
		}

		private static String address(int port) {
			return "http://" + EmbeddedFleet.LOOPBACK + ":" + port;
		}

		List<String> daemonCommands() {
			return this.daemonCommands;
		}

		@Override
		public void stop() {
			kill();
		}

		@Override
		public void kill() {
			for (AutoCloseable server : this.servers) {
				try {
					server.close();
				}
				catch (Exception ex) {
					throw new IllegalStateException("a stand-in server failed to stop", ex);
				}
			}
		}

	}

}
