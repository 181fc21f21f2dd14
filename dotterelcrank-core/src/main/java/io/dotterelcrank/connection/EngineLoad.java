package io.dotterelcrank.connection;

/**
 * Load of a model engine, as the sidecar beside it reads it. Immutable.
 *
 * @param id id of the engine's incarnation, or an empty string if it is not known
 * @param service service that the engine belongs to
 * @param dataCentre its data centre
 * @param address address of the engine, as {@code ip:port}
 * @param bornMillis when the engine started, by its own clock, in milliseconds; 0 if it
 * does not tell
 * @param running requests that run
 * @param waiting requests that wait for a slot
 * @param unreadTokens prompt tokens that the engine has still to read
 * @param memoryUsed memory that cannot be freed, in tokens
 * @param memoryTotal memory of the engine, in tokens
 * @param leaving whether the engine takes no new work
 * @param leavesMillis how much longer it serves, in milliseconds; negative if not known
 */
public record EngineLoad(String id, String service, String dataCentre, String address, long bornMillis, int running,
		int waiting, long unreadTokens, long memoryUsed, long memoryTotal, boolean leaving, long leavesMillis) {

	/**
	 * Returns a copy that names the engine.
	 * @param engineId id of the engine's incarnation, or an empty string
	 * @param serviceName service that the engine belongs to
	 * @param dataCentreName its data centre
	 * @return the changed copy
	 */
	public EngineLoad withIdentity(String engineId, String serviceName, String dataCentreName) {
		return new EngineLoad(engineId, serviceName, dataCentreName, this.address, this.bornMillis, this.running,
				this.waiting, this.unreadTokens, this.memoryUsed, this.memoryTotal, this.leaving, this.leavesMillis);
	}

	/**
	 * Returns a copy with another number of prompt tokens to read.
	 * @param tokens number of tokens
	 * @return the changed copy
	 */
	public EngineLoad withUnreadTokens(long tokens) {
		return new EngineLoad(this.id, this.service, this.dataCentre, this.address, this.bornMillis, this.running,
				this.waiting, tokens, this.memoryUsed, this.memoryTotal, this.leaving, this.leavesMillis);
	}

}
