package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.daemon.embedded.Fleet;
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
 * Runs stand-ins of the platform, one engine in each of two data centres, and one plain
 * service, and prints the commands that start daemons beside them.
 */
@Command(name = "standin", description = "Run stand-ins of the platform, two engines and a plain service")
public class StandinVerb implements Verb {

	/** Distance of the stand-in targets' ports from the base port. */
	private static final int TARGETS = 100;

	/** Distance of the sidecars' link ports from the base port. */
	private static final int LINKS = 200;

	/** Distance of the operators' ports from the base port. */
	private static final int OPERATORS = 300;

	/** Largest base port. */
	private static final int LAST_BASE = 60_000;

	/** How long the log keeps records, in milliseconds. */
	private static final long RETENTION_MILLIS = 4 * 3_600_000L;

	/** How long the host list takes to show changes, in milliseconds. */
	private static final long LAG_MILLIS = 1_000;

	/** First of the ports used. */
	@Option(name = "--base-port", title = "PORT", description = "First of the ports used (default 7000)")
	String base;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		SettingsReader reader = SettingsReader.of(System.getenv());
		int port = (int) reader.number("base-port", this.base, "7000", 1, LAST_BASE);
		reader.throwIfInvalid();
		Standins standins = new Standins(port);
		DaemonRunner.run(standins, () -> standins.commands().forEach(out::println));
		return ExitCode.DONE;
	}

	/**
	 * The stand-ins. Belongs to one thread.
	 */
	private static final class Standins implements Daemon {

		/** First of the ports used. */
		private final int base;

		/** The host list. */
		private final StandinHostList hosts = StandinHostList.withLag(Clock.system(), LAG_MILLIS);

		/** Lines to print. */
		private final List<String> commands = new ArrayList<>();

		/** What must be closed. */
		private final List<AutoCloseable> open = new ArrayList<>();

		Standins(int base) {
			this.base = base;
		}

		@Override
		public void start() throws IOException {
			StandinLog log = StandinLog.withRetention(Clock.system(), RETENTION_MILLIS);
			StandinWeightStore weights = StandinWeightStore.withLoadInterval(Clock.system(), LAG_MILLIS);
			this.open.add(PlatformServer.start(log, this.hosts, weights, this.base));
			addEngine(0, "engine-a", "dc-a");
			addEngine(1, "engine-b", "dc-b");
			addService(2, "desk-a", "dc-a");
			addEntry(0, "entry-a", "dc-a");
			addEntry(1, "entry-b", "dc-b");
		}

		private void addEngine(int number, String name, String dataCentre) throws IOException {
			Scheduler scheduler = Scheduler.singleThread(name);
			StandinEngine engine = StandinEngine.start(EngineSettings.defaults(), "bench-model", "bench-model",
					Clock.system(), scheduler);
			this.open.add(EngineServer.start(engine, this.base + TARGETS + number));
			addSidecar(number, name, dataCentre, HostList.Role.ENGINE, "bench-model", "bench-model");
		}

		private void addService(int number, String name, String dataCentre) throws IOException {
			Scheduler scheduler = Scheduler.singleThread(name);
			StandinService service = StandinService.withLatency(scheduler, 1);
			this.open.add(ServiceServer.start(service, scheduler, this.base + TARGETS + number));
			addSidecar(number, name, dataCentre, HostList.Role.SERVICE, "desk-ledger", "");
		}

		private void addSidecar(int number, String name, String dataCentre, HostList.Role role, String service,
				String model) {
			int link = this.base + LINKS + number;
			int operator = this.base + OPERATORS + number;
			this.hosts
				.put(new HostList.Host(name, role, dataCentre, service, model, Fleet.LOOPBACK, link, operator, false));
			this.commands.add("bin/dotterelcrank sidecar --name " + name + " --data-centre " + dataCentre
					+ " --service " + service + (model.isEmpty() ? "" : " --model " + model) + " --target "
					+ address(this.base + TARGETS + number) + " --port " + link + " --operator-port " + operator
					+ " --platform " + address(this.base));
		}

		private void addEntry(int number, String name, String dataCentre) {
			int operator = this.base + OPERATORS + TARGETS + number;
			this.hosts.put(new HostList.Host(name, HostList.Role.ENTRY, dataCentre, "", "", Fleet.LOOPBACK, 0, operator,
					false));
			this.commands.add("bin/dotterelcrank entry --name " + name + " --data-centre " + dataCentre + " --port "
					+ (8080 + number) + " --operator-port " + operator + " --platform " + address(this.base));
		}

		private static String address(int port) {
			return "http://" + Fleet.LOOPBACK + ":" + port;
		}

		List<String> commands() {
			return this.commands;
		}

		@Override
		public void stop() {
			kill();
		}

		@Override
		public void kill() {
			for (AutoCloseable closeable : this.open) {
				try {
					closeable.close();
				}
				catch (Exception ex) {
					throw new IllegalStateException("a stand-in did not stop", ex);
				}
			}
		}

	}

}
