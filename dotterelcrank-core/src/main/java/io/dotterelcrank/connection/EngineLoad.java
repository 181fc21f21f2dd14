package io.dotterelcrank.connection;

import java.util.Objects;

/**
 * Load of a model engine, as read by the sidecar beside it. Immutable.
 *
 * @param id id of the engine's incarnation; empty if not known
 * @param service service that the engine belongs to
 * @param dataCentre its data centre
 * @param address address of the engine, as {@code ip:port}
 * @param bornMillis start time of the engine by its own clock, in milliseconds; 0 if not
 * reported
 * @param running number of running requests
 * @param waiting number of requests waiting for a slot
 * @param unreadTokens prompt tokens not yet prefilled
 * @param memoryUsed KV cache memory in use that cannot be evicted, in tokens
 * @param memoryTotal KV cache memory of the engine, in tokens
 * @param leaving whether the engine is draining and accepts no new requests
 * @param leavesMillis time until the engine stops, in milliseconds; negative if not known
 * @param growthTokens tokens that the running requests are expected to produce until they
 * end; negative if not known
 * @param speed measured speed; absent in reports of earlier builds, and ignored by them
 */
public record EngineLoad(String id, String service, String dataCentre, String address, long bornMillis, int running,
		int waiting, long unreadTokens, long memoryUsed, long memoryTotal, boolean leaving, long leavesMillis,
		long growthTokens, EngineSpeed speed) {

	/**
	 * Creates a load.
	 * @throws NullPointerException if what identifies the engine is missing
	 */
	public EngineLoad {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(dataCentre, "dataCentre");
		Objects.requireNonNull(address, "address");
		speed = (speed != null) ? speed : EngineSpeed.UNKNOWN;
	}

	/**
	 * Creates a load of an engine whose speed is not known.
	 * @param id id of the engine's incarnation; empty if not known
	 * @param service service that the engine belongs to
	 * @param dataCentre its data centre
	 * @param address address of the engine, as {@code ip:port}
	 * @param bornMillis start time of the engine by its own clock, in milliseconds
	 * @param running number of running requests
	 * @param waiting number of requests waiting for a slot
	 * @param unreadTokens prompt tokens not yet prefilled
	 * @param memoryUsed memory of the KV cache in use that cannot be evicted, in tokens
	 * @param memoryTotal memory of the KV cache of the engine, in tokens
	 * @param leaving whether the engine is draining
	 * @param leavesMillis time until the engine stops, in milliseconds
	 * @param growthTokens tokens that the running requests are expected to produce
	 */
	public EngineLoad(String id, String service, String dataCentre, String address, long bornMillis, int running,
			int waiting, long unreadTokens, long memoryUsed, long memoryTotal, boolean leaving, long leavesMillis,
			long growthTokens) {
		this(id, service, dataCentre, address, bornMillis, running, waiting, unreadTokens, memoryUsed, memoryTotal,
				leaving, leavesMillis, growthTokens, EngineSpeed.UNKNOWN);
	}

	/**
	 * Returns the text in the log of a request that is sent. The form is that of records,
	 * whose own method is generated at its first call and costs a process more than its
	 * whole decision.
	 */
	@Override
	public String toString() {
		return "EngineLoad[id=" + this.id + ", service=" + this.service + ", dataCentre=" + this.dataCentre
				+ ", address=" + this.address + ", bornMillis=" + this.bornMillis + ", running=" + this.running
				+ ", waiting=" + this.waiting + ", unreadTokens=" + this.unreadTokens + ", memoryUsed="
				+ this.memoryUsed + ", memoryTotal=" + this.memoryTotal + ", leaving=" + this.leaving
				+ ", leavesMillis=" + this.leavesMillis + ", growthTokens=" + this.growthTokens + ", speed="
				+ this.speed + ']';
	}

	/**
	 * Returns a copy with the engine's identity.
	 * @param engineId id of the engine's incarnation; empty if not known
	 * @param serviceName service that the engine belongs to
	 * @param dataCentreName its data centre
	 * @return the changed copy
	 */
	public EngineLoad withIdentity(String engineId, String serviceName, String dataCentreName) {
		return new EngineLoad(engineId, serviceName, dataCentreName, this.address, this.bornMillis, this.running,
				this.waiting, this.unreadTokens, this.memoryUsed, this.memoryTotal, this.leaving, this.leavesMillis,
				this.growthTokens, this.speed);
	}

	/**
	 * Returns a copy with another prefill backlog.
	 * @param tokens prompt tokens not yet prefilled
	 * @return the changed copy
	 */
	public EngineLoad withUnreadTokens(long tokens) {
		return new EngineLoad(this.id, this.service, this.dataCentre, this.address, this.bornMillis, this.running,
				this.waiting, tokens, this.memoryUsed, this.memoryTotal, this.leaving, this.leavesMillis,
				this.growthTokens, this.speed);
	}

	/**
	 * Returns a copy with another expected growth.
	 * @param tokens tokens that the running requests are expected to produce
	 * @return the changed copy
	 */
	public EngineLoad withGrowthTokens(long tokens) {
		return new EngineLoad(this.id, this.service, this.dataCentre, this.address, this.bornMillis, this.running,
				this.waiting, this.unreadTokens, this.memoryUsed, this.memoryTotal, this.leaving, this.leavesMillis,
				tokens, this.speed);
	}

	/**
	 * Returns a copy with a measured speed.
	 * @param measured speed of the engine
	 * @return the changed copy
	 */
	public EngineLoad withSpeed(EngineSpeed measured) {
		return new EngineLoad(this.id, this.service, this.dataCentre, this.address, this.bornMillis, this.running,
				this.waiting, this.unreadTokens, this.memoryUsed, this.memoryTotal, this.leaving, this.leavesMillis,
				this.growthTokens, measured);
	}

}
