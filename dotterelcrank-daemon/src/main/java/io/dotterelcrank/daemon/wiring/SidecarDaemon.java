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
 * A sidecar daemon: a {@link Sidecar} with a port for links of entry hosts and an HTTP
 * server for operators. Thread-safe.
 */
@Singleton
public final class SidecarDaemon implements Daemon {

	private static final Logger logger = LoggerFactory.getLogger(SidecarDaemon.class);

	private final SidecarSettings settings;

	private final Sidecar sidecar;

	private final Transport transport;

	private final Scheduler scheduler;

	private final MetricRegistry metrics;

	private final ConfigurationHolder holder;

	/** {@code null} until the start. */
	private HttpServer operatorServer;

	/** Bound port for links of entry hosts; 0 until the start. */
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
	 * Creates a daemon.
	 * @param settings settings of the daemon
	 * @return a daemon with a running sidecar process; it does not listen yet
	 */
	public static SidecarDaemon of(SidecarSettings settings) {
		return DaggerSidecarComponent.factory().create(settings).daemon();
	}

	@Override
	public synchronized void start() throws IOException {
		this.sidecar.register(this.metrics);
		InetSocketAddress bindAddress = new InetSocketAddress(this.settings.address(), this.settings.port());
		this.port = this.transport.listen(bindAddress, this.sidecar).getPort();
		this.operatorServer = HttpServer.start(this.settings.address(), this.settings.operatorPort(), OperatorHandler
			.of(this.sidecar::dump, this.metrics, this.holder::ready, this.settings.operatorToken()));
		LogEvent.PROCESS_STARTED.log(logger, "sidecar", this.settings.name(), this.settings.dataCentre());
	}

	/**
	 * Returns the port for links of entry hosts.
	 * @return the bound port; 0 before the start
	 */
	public int port() {
		return this.port;
	}

	/**
	 * Returns the port for operators.
	 * @return the bound port; only after the start
	 */
	public int operatorPort() {
		return this.operatorServer.port();
	}

	/**
	 * Returns the sidecar process.
	 * @return the sidecar, running since the daemon was created
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
		if (this.operatorServer != null) {
			this.operatorServer.close();
		}
	}

}
