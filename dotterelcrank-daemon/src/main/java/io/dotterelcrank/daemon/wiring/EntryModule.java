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
import io.dotterelcrank.process.routing.RoutingPolicy;
import io.dotterelcrank.version.ConfigurationHolder;
import io.dotterelcrank.version.LogClient;

/**
 * Dagger bindings of an entry daemon. Stateless.
 */
@Module
interface EntryModule {

	/**
	 * Provides the platform's settings.
	 * @param settings settings of the daemon
	 * @return the URLs of the platform's systems
	 */
	@Provides
	static PlatformSettings platformSettings(EntrySettings settings) {
		return settings.platform();
	}

	/**
	 * Provides the routing policy.
	 * @param settings settings of the daemon
	 * @return the policy named in the settings
	 */
	@Provides
	@Singleton
	static RoutingPolicy routingPolicy(EntrySettings settings) {
		return RoutingPolicy.named(settings.routing(), RandomSource.XO_RO_SHI_RO_128_PP.create());
	}

	/**
	 * Provides the entry process.
	 * @param settings settings of the daemon
	 * @param hostList client of the host list
	 * @param log client of the log
	 * @param holder holds the configuration in force
	 * @param policy selects targets
	 * @param transport opens links to sidecars and peers
	 * @param context clock, scheduler and I/O executor
	 * @return an entry process, already started
	 */
	@Provides
	@Singleton
	static EntryProcess entryProcess(EntrySettings settings, HostList hostList, LogClient log,
			ConfigurationHolder holder, RoutingPolicy policy, Transport transport, ExecutionContext context) {
		EntryIdentity identity = new EntryIdentity(settings.name(), settings.dataCentre(), context.clock().millis());
		return EntryProcess.start(identity, hostList, new EntryProcess.ConfigurationAccess(log, holder), policy,
				transport, context);
	}

}
