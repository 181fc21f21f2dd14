package io.dotterelcrank.process.membership;

/**
 * A target as this process sees it. Immutable.
 *
 * @param registration last registration of the target
 * @param coldUntilMillis until when it is cold and takes only few requests, by the clock
 * of this process, in milliseconds
 * @param listed whether it is in the list, or was reported by its sidecar while the list
 * cannot be read; any other target is used only as a last resort
 * @param dataCentreOut whether its data centre is taken out of service
 */
public record Target(TargetRegistration registration, long coldUntilMillis, boolean listed, boolean dataCentreOut) {

	/**
	 * Returns whether the target accepts new requests.
	 * @return {@code false} if it is leaving or its data centre is out of service
	 */
	public boolean acceptsNewWork() {
		return !this.registration.leaving() && !this.dataCentreOut;
	}

}
