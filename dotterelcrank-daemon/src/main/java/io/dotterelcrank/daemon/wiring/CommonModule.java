package io.dotterelcrank.daemon.wiring;

import java.util.concurrent.Executor;
import java.util.concurrent.Executors;

import javax.inject.Singleton;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.ExecutionContext;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.daemon.client.HttpHostList;
import io.dotterelcrank.daemon.client.HttpLogClient;
import io.dotterelcrank.daemon.client.HttpWeightStore;
import io.dotterelcrank.daemon.settings.PlatformSettings;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.process.platform.LogClient;
import io.dotterelcrank.process.platform.WeightStore;
import io.dotterelcrank.version.ConfigurationHolder;

/**
 * What both daemons are made of. Stateless.
 */
@Module
interface CommonModule {

	/**
	 * Provides the clock.
	 * @return clock of the machine
	 */
	@Provides
	@Singleton
	static Clock clock() {
		return Clock.system();
	}

	/**
	 * Provides the control thread.
	 * @return a scheduler with one thread
	 */
	@Provides
	@Singleton
	static Scheduler scheduler() {
		return Scheduler.singleThread("control");
	}

	/**
	 * Provides the threads for calls that block.
	 * @return an executor with daemon threads
	 */
	@Provides
	@Singleton
	static Executor io() {
		return Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "io");
			thread.setDaemon(true);
			return thread;
		});
	}

	/**
	 * Provides clock and threads together.
	 * @param clock clock of the process
	 * @param scheduler runs the decisions
	 * @param io runs the calls, which block
	 * @return clock and threads
	 */
	@Provides
	@Singleton
	static ExecutionContext threads(Clock clock, Scheduler scheduler, Executor io) {
		return new ExecutionContext(clock, scheduler, io);
	}

	/**
	 * Provides the configuration in force.
	 * @return a holder that is not ready
	 */
	@Provides
	@Singleton
	static ConfigurationHolder holder() {
		return ConfigurationHolder.create();
	}

	/**
	 * Provides the transport.
	 * @param holder configuration in force
	 * @return a transport over TCP
	 */
	@Provides
	@Singleton
	static Transport transport(ConfigurationHolder holder) {
		return Transport.overTcp(() -> holder.current().version());
	}

	/**
	 * Provides the log.
	 * @param platform addresses of the platform's systems
	 * @return the log over HTTP
	 */
	@Provides
	@Singleton
	static LogClient log(PlatformSettings platform) {
		return HttpLogClient.at(platform.log());
	}

	/**
	 * Provides the host list.
	 * @param platform addresses of the platform's systems
	 * @return the host list over HTTP
	 */
	@Provides
	@Singleton
	static HostList hostList(PlatformSettings platform) {
		return HttpHostList.at(platform.hostList());
	}

	/**
	 * Provides the weight store.
	 * @param platform addresses of the platform's systems
	 * @return the weight store over HTTP
	 */
	@Provides
	@Singleton
	static WeightStore weightStore(PlatformSettings platform) {
		return HttpWeightStore.at(platform.weightStore());
	}

	/**
	 * Provides the metrics.
	 * @return an empty registry
	 */
	@Provides
	@Singleton
	static MetricRegistry metrics() {
		return new MetricRegistry();
	}

}
