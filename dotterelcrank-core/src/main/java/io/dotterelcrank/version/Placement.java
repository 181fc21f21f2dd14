package io.dotterelcrank.version;

/**
 * What the engines of a service are to hold. Immutable.
 *
 * @param service service that the engines belong to
 * @param model model to load
 * @param adapter adapter to load, or an empty string
 * @param modelVersion version of the model
 * @param role role of the engine, such as {@code serve}
 * @param fence fencing number: the offset of the change that asked for it
 */
public record Placement(String service, String model, String adapter, String modelVersion, String role, long fence) {

	/**
	 * Returns a copy with another fencing number.
	 * @param value offset of the change
	 * @return the changed copy
	 */
	public Placement withFence(long value) {
		return new Placement(this.service, this.model, this.adapter, this.modelVersion, this.role, value);
	}

	/**
	 * Tells whether an engine holds what is asked for.
	 * @param other what the engine reports
	 * @return {@code true} if everything but the fencing number is equal
	 */
	public boolean equalsIgnoringFence(Placement other) {
		return withFence(0).equals(other.withFence(0));
	}

}
