package io.dotterelcrank.daemon.wiring;

import java.io.IOException;
import java.net.InetSocketAddress;

import javax.inject.Inject;
import javax.inject.Singleton;

import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.daemon.http.HttpServer;
import io.dotterelcrank.daemon.http.OperatorHandler;
import io.dotterelcrank.daemon.settings.SidecarSettings;
import io.dotterelcrank.process.sidecar.Sidecar;
import io.dotterelcrank.version.ConfigurationHolder;

/**
 * A sidecar daemon: links of entry hosts and operators' HTTP around a {@link Sidecar}.
 * Thread-safe.
 */
@Singleton
public final class SidecarDaemon implements Daemon {

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(SidecarDaemon.class);

	/** Settings of the daemon. */
	private final SidecarSettings settings;

	/** The sidecar. */
	private final Sidecar sidecar;

	/** Accepts connections. */
	private final Transport transport;

	/** The control thread. */
	private final Scheduler scheduler;

	/** Metrics of the process. */
	private final MetricRegistry metrics;

	/** Configuration in force. */
	private final ConfigurationHolder holder;

	/** Server for operators. */
	private HttpServer operators;

	/** Port for links. */
	private int port;

	@Inject
	SidecarDaemon(SidecarSettings settings, Sidecar sidecar, Transport transport, Scheduler scheduler,
			MetricRegistry metrics, ConfigurationHolder holder) {
		this.settings = settings;
		this.sidecar = sidecar;
		this.transport = transport;
		this.scheduler = scheduler;
		this.metrics = metrics;
		this.holder = holder;
	}

	/**
	 * Makes a daemon.
	 * @param settings settings of the daemon
	 * @return a daemon that is not started
	 */
	public static SidecarDaemon of(SidecarSettings settings) {
		return DaggerSidecarComponent.factory().create(settings).daemon();
	}

	@Override
	public synchronized void start() throws IOException {
		this.sidecar.register(this.metrics);
		InetSocketAddress wanted = new InetSocketAddress(this.settings.address(), this.settings.port());
		this.port = this.transport.listen(wanted, this.sidecar).getPort();
		this.operators = HttpServer.start(this.settings.address(), this.settings.operatorPort(), OperatorHandler
			.of(this.sidecar::dump, this.metrics, this.holder::ready, this.settings.operatorToken()));
		LogEvent.PROCESS_STARTED.log(logger, "sidecar", this.settings.name(), this.settings.dataCentre());
	}

	/**
	 * Returns the port for links.
	 * @return port bound
	 */
	public int port() {
		return this.port;
	}

	/**
	 * Returns the port for operators.
	 * @return port bound
	 */
	public int operatorPort() {
		return this.operators.port();
	}

	/**
	 * Returns the sidecar.
	 * @return the sidecar
	 */
	public Sidecar sidecar() {
		return this.sidecar;
	}

	@Override
	public void stop() {
		this.sidecar.beginShutdown().join();
		LogEvent.PROCESS_STOPPED.log(logger, this.settings.name(), 0);
		kill();
	}

	@Override
	public synchronized void kill() {
		this.scheduler.close();
		this.transport.close();
		if (this.operators != null) {
			this.operators.close();
		}
	}

}
