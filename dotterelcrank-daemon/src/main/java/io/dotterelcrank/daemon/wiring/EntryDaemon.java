package io.dotterelcrank.daemon.wiring;

import java.io.IOException;

import javax.inject.Inject;
import javax.inject.Singleton;

import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.daemon.http.CallerHandler;
import io.dotterelcrank.daemon.http.HttpServer;
import io.dotterelcrank.daemon.http.OperatorHandler;
import io.dotterelcrank.daemon.settings.EntrySettings;
import io.dotterelcrank.process.entry.EntryProcess;

/**
 * An entry daemon: callers' and operators' HTTP around an {@link EntryProcess}.
 * Thread-safe.
 */
@Singleton
public final class EntryDaemon implements Daemon {

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(EntryDaemon.class);

	/** Time for the last bytes to leave the process, in milliseconds. */
	private static final long DELIVERY_MILLIS = 500;

	/** Settings of the daemon. */
	private final EntrySettings settings;

	/** The entry process. */
	private final EntryProcess entry;

	/** Opens connections. */
	private final Transport transport;

	/** The control thread. */
	private final Scheduler scheduler;

	/** Metrics of the process. */
	private final MetricRegistry metrics;

	/** Serves callers. */
	private final CallerHandler handler;

	/** Server for callers. */
	private HttpServer callers;

	/** Server for operators. */
	private HttpServer operators;

	@Inject
	EntryDaemon(EntrySettings settings, EntryProcess entry, Transport transport, Scheduler scheduler,
			MetricRegistry metrics) {
		this.settings = settings;
		this.entry = entry;
		this.transport = transport;
		this.scheduler = scheduler;
		this.metrics = metrics;
		this.handler = CallerHandler.of(entry);
	}

	/**
	 * Makes a daemon.
	 * @param settings settings of the daemon
	 * @return a daemon that is not started
	 */
	public static EntryDaemon of(EntrySettings settings) {
		return DaggerEntryComponent.factory().create(settings).daemon();
	}

	@Override
	public synchronized void start() throws IOException {
		this.entry.register(this.metrics);
		this.callers = HttpServer.start(this.settings.address(), this.settings.port(), this.handler);
		this.operators = HttpServer.start(this.settings.address(), this.settings.operatorPort(),
				OperatorHandler.of(this.entry::dump, this.metrics, this.entry::ready, this.settings.operatorToken()));
		LogEvent.PROCESS_STARTED.log(logger, "entry", this.settings.name(), this.settings.dataCentre());
	}

	/**
	 * Returns the port for callers.
	 * @return port bound
	 */
	public int port() {
		return this.callers.port();
	}

	/**
	 * Returns the port for operators.
	 * @return port bound
	 */
	public int operatorPort() {
		return this.operators.port();
	}

	/**
	 * Returns the entry process.
	 * @return the process
	 */
	public EntryProcess entry() {
		return this.entry;
	}

	@Override
	public void stop() {
		this.entry.beginShutdown();
		pause(this.settings.noticeMillis());
		this.handler.refuse();
		this.entry.whenDrained().join();
		pause(DELIVERY_MILLIS);
		LogEvent.PROCESS_STOPPED.log(logger, this.settings.name(), 0);
		kill();
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public synchronized void kill() {
		this.scheduler.close();
		this.transport.close();
		if (this.callers != null) {
			this.callers.close();
		}
		if (this.operators != null) {
			this.operators.close();
		}
	}

}
