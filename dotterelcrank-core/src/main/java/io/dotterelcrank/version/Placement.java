package io.dotterelcrank.version;

/**
 * Model that the engines of a service must load. Immutable.
 *
 * @param service service that the engines belong to
 * @param model model to load
 * @param adapter adapter to load; empty for none
 * @param modelVersion version of the model
 * @param role role of the engine, such as {@code serve}
 * @param fence fencing token: the offset of the change that published the placement
 */
public record Placement(String service, String model, String adapter, String modelVersion, String role, long fence) {

	/**
	 * Returns a copy with another fencing token.
	 * @param value offset of the change
	 * @return the changed copy
	 */
	public Placement withFence(long value) {
		return new Placement(this.service, this.model, this.adapter, this.modelVersion, this.role, value);
	}

	/**
	 * Returns whether another placement names the same model, adapter, version and role
	 * for the same service.
	 * @param other placement that the engine reports
	 * @return {@code true} if all but the fencing tokens are equal
	 */
	public boolean equalsIgnoringFence(Placement other) {
		return withFence(0).equals(other.withFence(0));
	}

}
