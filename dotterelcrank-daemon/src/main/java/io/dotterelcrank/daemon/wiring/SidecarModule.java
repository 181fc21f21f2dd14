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
import io.dotterelcrank.process.platform.WeightStore;
import io.dotterelcrank.process.sidecar.Sidecar;
import io.dotterelcrank.process.sidecar.SidecarIdentity;
import io.dotterelcrank.version.ConfigurationHolder;
import io.dotterelcrank.version.ConfigurationUpdater;
import io.dotterelcrank.version.LogClient;
import io.dotterelcrank.version.Setting;

/**
 * Dagger bindings of a sidecar daemon. Stateless.
 */
@Module
interface SidecarModule {

	/**
	 * Provides the platform's settings.
	 * @param settings settings of the daemon
	 * @return the URLs of the platform's systems
	 */
	@Provides
	static PlatformSettings platformSettings(SidecarSettings settings) {
		return settings.platform();
	}

	/**
	 * Provides the sidecar's identity.
	 * @param settings settings of the daemon
	 * @param context clock, scheduler and I/O executor
	 * @return the identity; its incarnation is the current time
	 */
	@Provides
	@Singleton
	static SidecarIdentity identity(SidecarSettings settings, ExecutionContext context) {
		return new SidecarIdentity(settings.name(), settings.dataCentre(), settings.service(), settings.model(),
				context.clock().millis(), settings.checksFences());
	}

	/**
	 * Provides the configuration updater. Sidecars read the log only if no entry host has
	 * confirmed their configuration for some time.
	 * @param settings settings of the daemon
	 * @param log client of the log
	 * @param holder holds the configuration in force
	 * @param context clock, scheduler and I/O executor
	 * @return an updater, already started
	 */
	@Provides
	@Singleton
	static ConfigurationUpdater configurationUpdater(SidecarSettings settings, LogClient log,
			ConfigurationHolder holder, ExecutionContext context) {
		ConfigurationUpdater updater = ConfigurationUpdater.of(settings.name(), log, holder, context.clock(),
				context.scheduler(), context.io(), List::of);
		updater.start();
		return updater;
	}

	/**
	 * Provides the sidecar.
	 * @param settings settings of the daemon
	 * @param identity identity of the sidecar
	 * @param log client of the log
	 * @param weights client of the weight store
	 * @param holder holds the configuration in force
	 * @param updater keeps the configuration up to date and reports its age
	 * @param context clock, scheduler and I/O executor
	 * @return a sidecar, already started
	 */
	@Provides
	@Singleton
	static Sidecar sidecar(SidecarSettings settings, SidecarIdentity identity, LogClient log, WeightStore weights,
			ConfigurationHolder holder, ConfigurationUpdater updater, ExecutionContext context) {
		if (!identity.servesModel()) {
			Claims claims = LogBackedClaims.of(identity.target(), identity.incarnation(), log, context.clock(),
					context.scheduler(), context.io(),
					() -> holder.current().value(Setting.KEY_MEMORY_MILLIS, identity.subject()));
			return Sidecar.startForService(identity, HttpServiceClient.at(settings.target()), claims, holder, updater,
					AdmissionPolicy.forServices(), context);
		}
		EngineClient engine = HttpEngineClient.at(settings.target());
		OrderReconciler orders = OrderReconciler.of(
				new OrderReconciler.EngineEndpoint(identity.service(), identity.checksFences(), engine, weights),
				holder, updater::ageMillis, context.scheduler(), context.io());
		return Sidecar.startForEngine(identity, engine, orders, holder, updater,
				AdmissionPolicy.named(settings.admission()), context);
	}

}
