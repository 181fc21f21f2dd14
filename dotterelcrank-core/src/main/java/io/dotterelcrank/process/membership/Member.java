package io.dotterelcrank.process.membership;

import java.net.InetSocketAddress;

import io.dotterelcrank.common.IpAddresses;

/**
 * An entry in the list of processes that accept links from peers. Immutable.
 *
 * @param name name of the host
 * @param address address on which the process accepts links
 * @param dataCentre data centre of the host; empty if not known
 * @param linkMbps capacity of the host's network link in Mbit/s; {@link #UNKNOWN_LINK} if
 * not known
 */
public record Member(String name, InetSocketAddress address, String dataCentre, double linkMbps) {

	/** Capacity of a link that is not known. */
	public static final double UNKNOWN_LINK = 0;

	private static final int MAX_DATA_CENTRE_CHARS = 255;

	/** Precedes the capacity of the link, which comes last. */
	private static final String LINK_MARKER = " link-mbps=";

	/** Length of the longest decimal form of a {@code double}. */
	private static final int MAX_LINK_CHARS = 24;

	/**
	 * Creates a member with a link of unknown capacity.
	 * @param name name of the host
	 * @param address address on which the process accepts links
	 * @param dataCentre data centre of the host; empty if not known
	 */
	public Member(String name, InetSocketAddress address, String dataCentre) {
		this(name, address, dataCentre, UNKNOWN_LINK);
	}

	/**
	 * Parses the value of a record of the members table. A malformed link capacity counts
	 * as unknown.
	 * @param name key of the record
	 * @param text address as {@code ip:port}, then the data centre after a space and the
	 * link capacity after its marker, each if it is known
	 * @return the member
	 * @throws IllegalArgumentException if address or data centre is malformed
	 */
	public static Member parse(String name, String text) {
		int marker = text.lastIndexOf(LINK_MARKER);
		return (marker < 0) ? parse(name, text, UNKNOWN_LINK)
				: parse(name, text.substring(0, marker), parseLink(text.substring(marker + LINK_MARKER.length())));
	}

	private static Member parse(String name, String text, double linkMbps) {
		int space = text.indexOf(' ');
		String dataCentre = (space < 0) ? "" : text.substring(space + 1);
		boolean printable = dataCentre.chars().noneMatch(Character::isISOControl);
		if (name.isEmpty() || dataCentre.length() > MAX_DATA_CENTRE_CHARS || !printable) {
			throw new IllegalArgumentException("no name, or not a data centre");
		}
		return new Member(name, IpAddresses.parse((space < 0) ? text : text.substring(0, space)), dataCentre, linkMbps);
	}

	private static double parseLink(String text) {
		try {
			double linkMbps = (text.length() <= MAX_LINK_CHARS) ? Double.parseDouble(text) : UNKNOWN_LINK;
			return (Double.isFinite(linkMbps) && linkMbps > 0) ? linkMbps : UNKNOWN_LINK;
		}
		catch (NumberFormatException ex) {
			return UNKNOWN_LINK;
		}
	}

	/**
	 * Returns whether the capacity of the link is known.
	 * @return {@code false} for hosts that do not publish it
	 */
	public boolean linkKnown() {
		return this.linkMbps > UNKNOWN_LINK;
	}

	/**
	 * Returns the value of the member's record.
	 * @return text that {@link #parse} reads
	 */
	public String format() {
		return this.address.getAddress().getHostAddress() + ':' + this.address.getPort() + ' ' + this.dataCentre
				+ (linkKnown() ? LINK_MARKER + this.linkMbps : "");
	}

}
