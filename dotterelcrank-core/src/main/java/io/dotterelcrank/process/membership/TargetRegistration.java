package io.dotterelcrank.process.membership;

import java.net.InetSocketAddress;

/**
 * A target's record in the platform's list of targets, or one built from a report of its
 * sidecar. Immutable.
 *
 * @param id key of the target in the list
 * @param service service that it belongs to
 * @param address address on which it accepts requests
 * @param dataCentre its data centre
 * @param slots number of requests that it runs concurrently; 0 if not reported
 * @param leaving whether it is draining and accepts no new requests
 * @param coldMillis remaining time during which it is cold and takes only few requests,
 * in milliseconds
 * @param bornMillis when it started, by its own clock, in milliseconds; 0 if not reported
 * @param sequence sequence number of the registration, which grows within an incarnation
 * @param version version of its software; empty if not reported
 */
public record TargetRegistration(String id, String service, InetSocketAddress address, String dataCentre, int slots,
		boolean leaving, long coldMillis, long bornMillis, long sequence, String version) {

	/**
	 * Creates a registration without a version.
	 * @param id key of the target in the list
	 * @param service service that it belongs to
	 * @param address address on which it accepts requests
	 * @param dataCentre its data centre
	 * @param slots number of requests that it runs concurrently; 0 if not reported
	 * @param leaving whether it is draining and accepts no new requests
	 * @param coldMillis remaining time during which it is cold, in milliseconds
	 * @param bornMillis when it started, by its own clock, in milliseconds; 0 if not
	 * reported
	 * @param sequence sequence number of the registration
	 */
	public TargetRegistration(String id, String service, InetSocketAddress address, String dataCentre, int slots,
			boolean leaving, long coldMillis, long bornMillis, long sequence) {
		this(id, service, address, dataCentre, slots, leaving, coldMillis, bornMillis, sequence, "");
	}

	/**
	 * Returns whether this registration replaces another one of the same target.
	 * @param other the registration known so far
	 * @return {@code true} if this one is of a later incarnation, or not older within the
	 * same one
	 */
	boolean replaces(TargetRegistration other) {
		if (this.bornMillis != other.bornMillis) {
			return this.bornMillis > other.bornMillis;
		}
		return this.sequence >= other.sequence;
	}

	/**
	 * Returns whether a target that is gone has registered again.
	 * @param last its last registration before it was gone
	 * @return {@code true} if this one is of a later incarnation or newer within the same
	 * one, or if incarnations cannot be told apart
	 */
	boolean isAfter(TargetRegistration last) {
		if (this.bornMillis != last.bornMillis) {
			return this.bornMillis > last.bornMillis;
		}
		return this.bornMillis == 0 || this.sequence > last.sequence;
	}

}
