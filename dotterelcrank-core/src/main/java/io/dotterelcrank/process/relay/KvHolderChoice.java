package io.dotterelcrank.process.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.version.plan.ServiceSpec;

/**
 * Chooses the engines that hold KV backups and KV copies of one generation. Addresses
 * engines that had no room for a copy: they are chosen again only if no other engine has.
 * Confined to the traffic thread.
 */
final class KvHolderChoice {

	private final RelayedRequest request;

	private final RelayService relayService;

	/** Engines that had no room for a KV copy of the generation. */
	private final Set<String> fullHolderIds = new HashSet<>();

	KvHolderChoice(RelayedRequest request, RelayService relayService) {
		this.request = request;
		this.relayService = relayService;
	}

	/**
	 * Records that an engine had no room for a KV copy.
	 * @param holder the engine
	 */
	void recordFull(TargetRegistration holder) {
		this.fullHolderIds.add(holder.id());
	}

	/**
	 * Chooses the engine that keeps a KV backup of the generation.
	 * @param chosen engine that will run the generation
	 * @return the engine, or empty if the service supports no KV backups or no engine is
	 * known to have enough free memory
	 */
	Optional<TrackedTarget> forBackup(TrackedTarget chosen) {
		ServiceSpec service = this.request.service();
		if (service.engine().filter(ServiceSpec.EngineSpec::supportsKvBackups).isEmpty()) {
			return Optional.empty();
		}
		double usedFraction = this.relayService.targetPool().usedMemoryFraction(service);
		return choose(chosen, demand(chosen).withMaxMemoryFraction(BackupPolicy.maxMemoryFraction(usedFraction)))
			.filter((engine) -> engine.load() != null);
	}

	/**
	 * Chooses the engine that gets a KV copy. If no engine has enough free memory for the
	 * whole generation, memory for its prompt is enough: without a KV copy the generation
	 * is lost.
	 * @param engine engine that runs or ran the generation
	 * @return the engine, or empty if none has enough free memory
	 */
	Optional<TargetRegistration> forCopy(TrackedTarget engine) {
		return choose(engine, demand(engine)).or(() -> choose(engine, demand(engine).forPromptOnly()))
			.map((holder) -> holder.membership().registration());
	}

	/**
	 * Returns the resources that a KV backup or KV copy of the generation needs.
	 * @param engine engine that runs the generation
	 * @return demand that prefers the engine's data centre
	 */
	private PlacementStrategy.Demand demand(TrackedTarget engine) {
		double copySecondsPerToken = this.request.service()
			.engine()
			.map(ServiceSpec.EngineSpec::copySecondsPerToken)
			.orElse(0.0);
		return this.request.demand().forKvCopy(engine.membership().registration().dataCentre(), copySecondsPerToken);
	}

	private Optional<TrackedTarget> choose(TrackedTarget engine, PlacementStrategy.Demand demand) {
		return this.relayService.targetPool().chooseHolder(this.request.service(), demand, engine, this.fullHolderIds);
	}

}
