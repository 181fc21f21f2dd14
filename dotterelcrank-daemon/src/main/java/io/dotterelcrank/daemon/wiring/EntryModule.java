package io.dotterelcrank.daemon.wiring;

import javax.inject.Singleton;

import dagger.Module;
import dagger.Provides;
import org.apache.commons.rng.simple.RandomSource;

import io.dotterelcrank.common.ExecutionContext;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.daemon.settings.EntrySettings;
import io.dotterelcrank.daemon.settings.PlatformSettings;
import io.dotterelcrank.process.entry.EntryIdentity;
import io.dotterelcrank.process.entry.EntryProcess;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.process.platform.LogClient;
import io.dotterelcrank.process.routing.RoutingPolicy;
import io.dotterelcrank.version.ConfigurationHolder;

/**
 * What an entry daemon is made of. Stateless.
 */
@Module
interface EntryModule {

	/**
	 * Provides the platform's addresses.
	 * @param settings settings of the daemon
	 * @return addresses of the platform's systems
	 */
	@Provides
	static PlatformSettings platform(EntrySettings settings) {
		return settings.platform();
	}

	/**
	 * Provides the routing policy.
	 * @param settings settings of the daemon
	 * @return the policy named in the settings
	 */
	@Provides
	@Singleton
	static RoutingPolicy routing(EntrySettings settings) {
		return RoutingPolicy.named(settings.routing(), RandomSource.XO_RO_SHI_RO_128_PP.create());
	}

	/**
	 * Provides the entry process.
	 * @param settings settings of the daemon
	 * @param hostList the host list
	 * @param log the log
	 * @param holder configuration in force
	 * @param policy chooses targets
	 * @param transport opens connections
	 * @param threads clock and threads
	 * @return a running entry process
	 */
	@Provides
	@Singleton
	static EntryProcess entry(EntrySettings settings, HostList hostList, LogClient log, ConfigurationHolder holder,
			RoutingPolicy policy, Transport transport, ExecutionContext threads) {
		EntryIdentity identity = new EntryIdentity(settings.name(), settings.dataCentre(), threads.clock().millis());
		return EntryProcess.start(identity, hostList, new EntryProcess.ConfigurationAccess(log, holder), policy,
				transport, threads);
	}

}
