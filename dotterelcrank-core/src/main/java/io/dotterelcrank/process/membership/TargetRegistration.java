package io.dotterelcrank.process.membership;

import java.net.InetSocketAddress;

/**
 * What a target says of itself in the platform's list. Immutable.
 *
 * @param id id of the target's incarnation
 * @param service service that it belongs to
 * @param address where it accepts requests
 * @param dataCentre its data centre
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new work
 * @param coldMillis how much longer it bears only a little, in milliseconds
 * @param bornMillis when it started, by its own clock, in milliseconds; 0 if it did not
 * say
 * @param sequence number of the report, which grows within an incarnation
 */
public record TargetRegistration(String id, String service, InetSocketAddress address, String dataCentre, int slots,
		boolean leaving, long coldMillis, long bornMillis, long sequence) {

	/**
	 * Tells whether this report replaces another one of the same target.
	 * @param held the report held
	 * @return {@code true} if this one is of a later incarnation, or later in the same
	 */
	boolean replaces(TargetRegistration held) {
		if (this.bornMillis != held.bornMillis) {
			return this.bornMillis > held.bornMillis;
		}
		return this.sequence >= held.sequence;
	}

}
