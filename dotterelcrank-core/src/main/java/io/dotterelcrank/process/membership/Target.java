package io.dotterelcrank.process.membership;

/**
 * A target as a process believes it to be. Immutable.
 *
 * @param registration what it last said of itself
 * @param coldUntilMillis until when it bears only a little, by the process's clock, in
 * milliseconds
 * @param listed whether it is in the list; one that has lapsed is used only where nothing
 * else is left
 * @param dataCentreOut whether its data centre is taken out
 */
public record Target(TargetRegistration registration, long coldUntilMillis, boolean listed, boolean dataCentreOut) {

	/**
	 * Tells whether new work may go to the target.
	 * @return {@code false} if it is leaving or its data centre is out
	 */
	public boolean acceptsNewWork() {
		return !this.registration.leaving() && !this.dataCentreOut;
	}

}
