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
 * An entry daemon: an {@link EntryProcess} with HTTP servers for callers and operators.
 * Thread-safe.
 */
@Singleton
public final class EntryDaemon implements Daemon {

	private static final Logger logger = LoggerFactory.getLogger(EntryDaemon.class);

	/** Time after the last response for its bytes to be sent, in milliseconds. */
	private static final long FLUSH_MILLIS = 500;

	private final EntrySettings settings;

	private final EntryProcess entry;

	private final Transport transport;

	private final Scheduler scheduler;

	private final MetricRegistry metrics;

	private final CallerHandler callerHandler;

	/** {@code null} until the start. */
	private HttpServer callerServer;

	/** {@code null} until the start. */
	private HttpServer operatorServer;

	@Inject
	EntryDaemon(EntrySettings settings, EntryProcess entry, Transport transport, Scheduler scheduler,
			MetricRegistry metrics) {
		this.settings = settings;
		this.entry = entry;
		this.transport = transport;
		this.scheduler = scheduler;
		this.metrics = metrics;
		this.callerHandler = CallerHandler.of(entry);
	}

	/**
	 * Creates a daemon.
	 * @param settings settings of the daemon
	 * @return a daemon with a running entry process; its servers are not started
	 */
	public static EntryDaemon of(EntrySettings settings) {
		return DaggerEntryComponent.factory().create(settings).daemon();
	}

	@Override
	public synchronized void start() throws IOException {
		this.entry.register(this.metrics);
		this.callerServer = HttpServer.start(this.settings.address(), this.settings.port(), this.callerHandler);
		this.operatorServer = HttpServer.start(this.settings.address(), this.settings.operatorPort(),
				OperatorHandler.of(this.entry::dump, this.metrics, this.entry::ready, this.settings.operatorToken()));
		LogEvent.PROCESS_STARTED.log(logger, "entry", this.settings.name(), this.settings.dataCentre());
	}

	/**
	 * Returns the port for callers.
	 * @return the bound port; only after the start
	 */
	public int port() {
		return this.callerServer.port();
	}

	/**
	 * Returns the port for operators.
	 * @return the bound port; only after the start
	 */
	public int operatorPort() {
		return this.operatorServer.port();
	}

	/**
	 * Returns the entry process.
	 * @return the process, running since the daemon was created
	 */
	public EntryProcess entry() {
		return this.entry;
	}

	@Override
	public void stop() {
		this.entry.beginShutdown();
		pause(this.settings.noticeMillis());
		this.callerHandler.rejectNewRequests();
		this.entry.whenDrained().join();
		pause(FLUSH_MILLIS);
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
		if (this.callerServer != null) {
			this.callerServer.close();
		}
		if (this.operatorServer != null) {
			this.operatorServer.close();
		}
	}

}
