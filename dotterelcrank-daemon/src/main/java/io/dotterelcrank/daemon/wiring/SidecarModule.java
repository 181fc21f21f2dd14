package io.dotterelcrank.daemon.wiring;

import java.util.List;

import javax.inject.Singleton;

import dagger.Module;
import dagger.Provides;

import io.dotterelcrank.common.ExecutionContext;
import io.dotterelcrank.daemon.client.HttpEngineClient;
import io.dotterelcrank.daemon.client.HttpServiceClient;
import io.dotterelcrank.daemon.settings.PlatformSettings;
import io.dotterelcrank.daemon.settings.SidecarSettings;
import io.dotterelcrank.process.admission.AdmissionPolicy;
import io.dotterelcrank.process.claim.Claims;
import io.dotterelcrank.process.claim.LogBackedClaims;
import io.dotterelcrank.process.order.OrderReconciler;
import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.process.platform.LogClient;
import io.dotterelcrank.process.platform.WeightStore;
import io.dotterelcrank.process.sidecar.Sidecar;
import io.dotterelcrank.process.sidecar.SidecarIdentity;
import io.dotterelcrank.version.ConfigurationHolder;
import io.dotterelcrank.version.ConfigurationUpdater;
import io.dotterelcrank.version.Setting;

/**
 * What a sidecar daemon is made of. Stateless.
 */
@Module
interface SidecarModule {

	/**
	 * Provides the platform's addresses.
	 * @param settings settings of the daemon
	 * @return addresses of the platform's systems
	 */
	@Provides
	static PlatformSettings platform(SidecarSettings settings) {
		return settings.platform();
	}

	/**
	 * Provides the identity.
	 * @param settings settings of the daemon
	 * @param threads clock and threads
	 * @return who the sidecar is
	 */
	@Provides
	@Singleton
	static SidecarIdentity identity(SidecarSettings settings, ExecutionContext threads) {
		return new SidecarIdentity(settings.name(), settings.dataCentre(), settings.service(), settings.model(),
				threads.clock().millis(), settings.checksFences());
	}

	/**
	 * Provides the feed, which has started. Sidecars do not read the log unless no entry
	 * host has confirmed their configuration for some time.
	 * @param settings settings of the daemon
	 * @param log the log
	 * @param holder configuration in force
	 * @param threads clock and threads
	 * @return a running feed
	 */
	@Provides
	@Singleton
	static ConfigurationUpdater feed(SidecarSettings settings, LogClient log, ConfigurationHolder holder,
			ExecutionContext threads) {
		ConfigurationUpdater feed = ConfigurationUpdater.of(settings.name(), log, holder, threads.clock(),
				threads.scheduler(), threads.io(), List::of);
		feed.start();
		return feed;
	}

	/**
	 * Provides the sidecar.
	 * @param settings settings of the daemon
	 * @param identity who it is
	 * @param log the log
	 * @param weights the weight store
	 * @param holder configuration in force
	 * @param feed keeps the configuration up to date
	 * @param threads clock and threads
	 * @return a running sidecar
	 */
	@Provides
	@Singleton
	static Sidecar sidecar(SidecarSettings settings, SidecarIdentity identity, LogClient log, WeightStore weights,
			ConfigurationHolder holder, ConfigurationUpdater feed, ExecutionContext threads) {
		if (!identity.servesModel()) {
			Claims claims = LogBackedClaims.of(identity.target(), identity.incarnation(), log, threads.clock(),
					threads.scheduler(), threads.io(),
					() -> holder.current().value(Setting.KEY_MEMORY_MILLIS, identity.subject()));
			return Sidecar.besideService(identity, HttpServiceClient.at(settings.target()), claims, holder, feed,
					AdmissionPolicy.forServices(), threads);
		}
		EngineClient engine = HttpEngineClient.at(settings.target());
		OrderReconciler orders = OrderReconciler.of(
				new OrderReconciler.EngineEndpoint(identity.service(), identity.checksFences(), engine, weights),
				holder, feed::ageMillis, threads.scheduler(), threads.io());
		return Sidecar.besideEngine(identity, engine, orders, holder, feed, AdmissionPolicy.named(settings.admission()),
				threads);
	}

}
