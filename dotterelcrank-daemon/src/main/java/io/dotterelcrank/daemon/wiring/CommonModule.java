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
import io.dotterelcrank.process.platform.WeightStore;
import io.dotterelcrank.version.ConfigurationHolder;
import io.dotterelcrank.version.LogClient;

/**
 * Dagger bindings common to both daemons. Stateless.
 */
@Module
interface CommonModule {

	/**
	 * Provides the clock.
	 * @return the system clock
	 */
	@Provides
	@Singleton
	static Clock clock() {
		return Clock.system();
	}

	/**
	 * Provides the scheduler of the control thread.
	 * @return a scheduler with one thread
	 */
	@Provides
	@Singleton
	static Scheduler scheduler() {
		return Scheduler.singleThread("control");
	}

	/**
	 * Provides the executor for blocking I/O.
	 * @return an executor with an unbounded number of daemon threads
	 */
	@Provides
	@Singleton
	static Executor ioExecutor() {
		return Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "io");
			thread.setDaemon(true);
			return thread;
		});
	}

	/**
	 * Provides the context in which processes run their tasks.
	 * @param clock clock of the process
	 * @param scheduler scheduler of the control thread
	 * @param ioExecutor executor for blocking I/O
	 * @return clock, scheduler and I/O executor
	 */
	@Provides
	@Singleton
	static ExecutionContext executionContext(Clock clock, Scheduler scheduler, Executor ioExecutor) {
		return new ExecutionContext(clock, scheduler, ioExecutor);
	}

	/**
	 * Provides the holder of the configuration in force.
	 * @return a holder that is not ready until the first configuration arrives
	 */
	@Provides
	@Singleton
	static ConfigurationHolder configurationHolder() {
		return ConfigurationHolder.create();
	}

	/**
	 * Provides the transport for links between processes.
	 * @param holder supplies the configuration version that messages carry
	 * @return a transport over TCP
	 */
	@Provides
	@Singleton
	static Transport transport(ConfigurationHolder holder) {
		return Transport.overTcp(() -> holder.current().version());
	}

	/**
	 * Provides the client of the log.
	 * @param platform the URLs of the platform's systems
	 * @return a client over HTTP
	 */
	@Provides
	@Singleton
	static LogClient log(PlatformSettings platform) {
		return HttpLogClient.at(platform.log());
	}

	/**
	 * Provides the client of the host list.
	 * @param platform the URLs of the platform's systems
	 * @return a client over HTTP
	 */
	@Provides
	@Singleton
	static HostList hostList(PlatformSettings platform) {
		return HttpHostList.at(platform.hostList());
	}

	/**
	 * Provides the client of the weight store.
	 * @param platform the URLs of the platform's systems
	 * @return a client over HTTP
	 */
	@Provides
	@Singleton
	static WeightStore weightStore(PlatformSettings platform) {
		return HttpWeightStore.at(platform.weightStore());
	}

	/**
	 * Provides the metrics registry.
	 * @return an empty registry
	 */
	@Provides
	@Singleton
	static MetricRegistry metrics() {
		return new MetricRegistry();
	}

}
