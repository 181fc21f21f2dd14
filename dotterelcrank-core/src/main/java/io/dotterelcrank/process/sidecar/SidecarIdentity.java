package io.dotterelcrank.process.sidecar;

import io.dotterelcrank.version.Subject;

/**
 * Identifies a sidecar process and its target. Immutable.
 *
 * @param target name of the target in the host list
 * @param dataCentre data centre of the target
 * @param service service to which the target belongs
 * @param model model that the target serves; empty for a plain service
 * @param incarnation start time of the process, in milliseconds
 * @param checksFences whether the engine rejects orders with an outdated fencing token
 */
public record SidecarIdentity(String target, String dataCentre, String service, String model, long incarnation,
		boolean checksFences) {

	/**
	 * Returns whether the target is a model engine.
	 * @return {@code false} for a plain service
	 */
	public boolean servesModel() {
		return !this.model.isEmpty();
	}

	/**
	 * Returns the subject for looking up settings.
	 * @return service, target and data centre; the workspace is empty
	 */
	public Subject subject() {
		return new Subject("", this.service, this.target, this.dataCentre);
	}

}
