package io.dotterelcrank.process.sidecar;

import io.dotterelcrank.version.Subject;

/**
 * Who a sidecar is. Immutable.
 *
 * @param target name of the target in the host list
 * @param dataCentre data centre of the target
 * @param service service that the target belongs to
 * @param model model served; empty for a plain service
 * @param incarnation start time of the process in milliseconds
 * @param checksFences whether the engine refuses old fencing numbers
 */
public record SidecarIdentity(String target, String dataCentre, String service, String model, long incarnation,
		boolean checksFences) {

	/**
	 * Tells whether the target is a model engine.
	 * @return {@code false} for a plain service
	 */
	public boolean servesModel() {
		return !this.model.isEmpty();
	}

	/**
	 * Returns the subject under which settings are looked up.
	 * @return the target, without a workspace
	 */
	public Subject subject() {
		return new Subject("", this.service, this.target, this.dataCentre);
	}

}
