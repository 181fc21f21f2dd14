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
		RelayProcessSettings process = process(reader);
		RelayEntrySettings settings = new RelayEntrySettings(process, address(reader, "callers"),
				address(reader, "ready"), address(reader, "peers"),
				new RelaySettings(process.dataCentre(), decimal(reader, "repeat-ratio", "0.2"),
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
		RelaySidecarSettings settings = new RelaySidecarSettings(process(reader), address(reader, "engine"),
				reader.name("service", null, null));
		reader.throwIfInvalid();
		return settings;
	}

	private static RelayProcessSettings process(SettingsReader reader) {
		return new RelayProcessSettings(reader.name("name", null, null), reader.name("data-centre", null, null),
				address(reader, "store"), addresses(reader.text("seeds", null, "")), reader.ipAddress("ip", null, null),
				reader.port("metrics-port", null, "0"));
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
			return InetSocketAddress.createUnresolved("missing", 0);
		}
		List<InetSocketAddress> parsed = addresses(value);
		if (parsed.size() != 1) {
			reader.addError("--" + name + " must be an IP address and a port, not '" + value + "'");
			return InetSocketAddress.createUnresolved("malformed", 0);
		}
		return parsed.get(0);
	}

	private static List<InetSocketAddress> addresses(String text) {
		List<InetSocketAddress> addresses = new ArrayList<>();
		for (String part : text.split(",")) {
			if (part.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
				int colon = part.indexOf(':');
				addresses
					.add(new InetSocketAddress(part.substring(0, colon), Integer.parseInt(part.substring(colon + 1))));
			}
		}
		return addresses;
	}

}
