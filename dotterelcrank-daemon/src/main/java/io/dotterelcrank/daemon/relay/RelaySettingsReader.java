package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.dotterelcrank.daemon.settings.SettingsReader;
import io.dotterelcrank.process.relay.RelaySettings;
import io.dotterelcrank.request.RequestException;

/**
 * Reads the settings of relaying daemons from environment variables. Stateless.
 */
public final class RelaySettingsReader {

	private static final double MILLIS_PER_SECOND = 1_000;

	private RelaySettingsReader() {
	}

	/**
	 * Reads the settings of an entry daemon.
	 * @param environment environment variables
	 * @return the settings
	 * @throws RequestException if a setting is missing or invalid; its message lists all
	 * errors
	 */
	public static RelayEntrySettings entry(Map<String, String> environment) throws RequestException {
		SettingsReader reader = SettingsReader.of(environment);
		RelayCommonSettings common = common(reader);
		RelayEntrySettings settings = new RelayEntrySettings(common, address(reader, "callers"),
				address(reader, "ready"), address(reader, "peers"),
				new RelaySettings(common.dataCentre(), decimal(reader, "repeat-ratio", "0.2"),
						decimal(reader, "repeat-slack", "0"),
						(long) (decimal(reader, "repeat-window-seconds", "10") * MILLIS_PER_SECOND)),
				reader.number("drain-millis", null, "2000", 100, 3_600_000),
				(long) (decimal(reader, "grace-seconds", "8") * MILLIS_PER_SECOND));
		reader.throwIfInvalid();
		return settings;
	}

	/**
	 * Reads the settings of a sidecar daemon.
	 * @param environment environment variables
	 * @return the settings
	 * @throws RequestException if a setting is missing or invalid; its message lists all
	 * errors
	 */
	public static RelaySidecarSettings sidecar(Map<String, String> environment) throws RequestException {
		SettingsReader reader = SettingsReader.of(environment);
		RelaySidecarSettings settings = new RelaySidecarSettings(common(reader), address(reader, "engine"),
				reader.name("service", null, null));
		reader.throwIfInvalid();
		return settings;
	}

	private static RelayCommonSettings common(SettingsReader reader) {
		return new RelayCommonSettings(reader.name("name", null, null), reader.name("data-centre", null, null),
				address(reader, "store"), parseValidAddresses(reader.text("seeds", null, "")),
				reader.ipAddress("ip", null, null), reader.port("metrics-port", null, "0"));
	}

	private static double decimal(SettingsReader reader, String name, String defaultValue) {
		String value = reader.text(name, null, defaultValue);
		if (!value.matches("[0-9]{1,9}(\\.[0-9]{1,9})?")) {
			reader.addError("--" + name + " must be a decimal number, not '" + value + "'");
			return 0;
		}
		return Double.parseDouble(value);
	}

	private static InetSocketAddress address(SettingsReader reader, String name) {
		String value = reader.text(name, null, null);
		if (value.isEmpty()) {
			// A placeholder: no value was given.
			return InetSocketAddress.createUnresolved("missing", 0);
		}
		List<InetSocketAddress> parsed = parseValidAddresses(value);
		if (parsed.size() != 1) {
			reader.addError("--" + name + " must be an IP address and a port, not '" + value + "'");
			return InetSocketAddress.createUnresolved("malformed", 0);
		}
		return parsed.get(0);
	}

	/**
	 * Parses IPv4 addresses with ports, separated by commas.
	 * @param text the list
	 * @return the addresses, without malformed ones
	 */
	private static List<InetSocketAddress> parseValidAddresses(String text) {
		List<InetSocketAddress> addresses = new ArrayList<>();
		for (String candidate : text.split(",")) {
			if (candidate.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
				int colon = candidate.indexOf(':');
				addresses.add(new InetSocketAddress(candidate.substring(0, colon),
						Integer.parseInt(candidate.substring(colon + 1))));
			}
		}
		return addresses;
	}

}
