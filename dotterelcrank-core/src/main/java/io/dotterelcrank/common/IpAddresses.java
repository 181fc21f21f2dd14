package io.dotterelcrank.common;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses addresses that other processes name. Invariant: no name is looked up, so that
 * parsing never blocks, and each result can be connected to. Stateless.
 */
public final class IpAddresses {

	private static final Pattern ADDRESS = Pattern
		.compile("([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):([0-9]{1,5})");

	private static final int IP_OCTETS = 4;

	private static final int MAX_OCTET = 255;

	private static final int MAX_PORT = 65_535;

	/** First octet of multicast, reserved and broadcast addresses, and above. */
	private static final int FIRST_MULTICAST_OCTET = 224;

	private IpAddresses() {
	}

	/**
	 * Parses an IPv4 address and a port.
	 * @param text address as {@code ip:port}
	 * @return address of one host
	 * @throws IllegalArgumentException if the text is anything else
	 */
	public static InetSocketAddress parse(String text) {
		Matcher matcher = ADDRESS.matcher(text);
		if (!matcher.matches()) {
			throw new IllegalArgumentException("not an IP address and a port: '" + text + "'");
		}
		byte[] octets = new byte[IP_OCTETS];
		for (int i = 0; i < IP_OCTETS; i++) {
			octets[i] = (byte) bounded(matcher.group(i + 1), 0, MAX_OCTET, text);
		}
		bounded(matcher.group(1), 1, FIRST_MULTICAST_OCTET - 1, text);
		int port = bounded(matcher.group(IP_OCTETS + 1), 1, MAX_PORT, text);
		try {
			return new InetSocketAddress(InetAddress.getByAddress(octets), port);
		}
		catch (UnknownHostException ex) {
			throw new IllegalArgumentException("not an IP address and a port: '" + text + "'", ex);
		}
	}

	private static int bounded(String digits, int min, int max, String text) {
		int value = Integer.parseInt(digits);
		if (value < min || value > max) {
			throw new IllegalArgumentException("address out of range: '" + text + "'");
		}
		return value;
	}

}
