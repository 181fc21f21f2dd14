package io.dotterelcrank.daemon.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.dotterelcrank.daemon.settings.SettingsReader;
import io.dotterelcrank.process.membership.Member;
import io.dotterelcrank.process.relay.RelaySettings;
import io.dotterelcrank.process.rollout.RolloutSettings;
import io.dotterelcrank.request.RequestException;

/**
 * Reads the settings of relaying daemons from environment variables. Stateless.
 */
public final class RelaySettingsReader {

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final double MIN_BOUND_MILLIS = 100;

	/** One hour. */
	private static final double MAX_BOUND_MILLIS = 3_600_000;

	/** Max retries per request, and max additional retries per window. */
	private static final double MAX_RETRIES = 1_000_000_000;

	/** A petabit per second. */
	private static final double MAX_LINK_MBPS = 1_000_000_000;

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
				new RelaySettings(common.dataCentre(), reader.decimal("repeat-ratio", null, "0.2", 0, MAX_RETRIES),
						reader.decimal("repeat-slack", null, "0", 0, MAX_RETRIES),
						secondsAsMillis(reader, "repeat-window-seconds", "10"), millis(reader, "config-millis", "2000"),
						secondsAsMillis(reader, "grace-seconds", "8"), common.name(), rollouts(reader),
						reader.choice("yield-to-shorter-goals", null, "no", "yes|no").equals("yes"),
						reader.choice("first-start", null, "no", "yes|no").equals("yes")),
				millis(reader, "drain-millis", "2000"),
				reader.decimal("link-mbps", null, "", Member.UNKNOWN_LINK, MAX_LINK_MBPS));
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

	/**
	 * Reads the bounds of roll-outs. Deployments without roll-outs leave them empty.
	 * @param reader collects the errors
	 * @return the bounds
	 */
	private static RolloutSettings rollouts(SettingsReader reader) {
		double share = reader.decimal("exposed-share", null, "", 0, 1);
		long slack = Math.round(reader.decimal("exposed-slack", null, "", 0, MAX_RETRIES));
		boolean withRollback = !reader.text("rollback-millis", null, "").isEmpty();
		long rollbackMillis = withRollback ? millis(reader, "rollback-millis", "") : 0;
		if (share > 0 && !withRollback) {
			reader.addError("--rollback-millis is missing, but --exposed-share is set");
		}
		return (share > 0) ? new RolloutSettings(share, (int) slack, rollbackMillis) : RolloutSettings.DISABLED;
	}

	private static long millis(SettingsReader reader, String name, String defaultValue) {
		return Math.round(reader.decimal(name, null, defaultValue, MIN_BOUND_MILLIS, MAX_BOUND_MILLIS));
	}

	private static long secondsAsMillis(SettingsReader reader, String name, String defaultValue) {
		return Math.round(MILLIS_PER_SECOND * reader.decimal(name, null, defaultValue,
				MIN_BOUND_MILLIS / MILLIS_PER_SECOND, MAX_BOUND_MILLIS / MILLIS_PER_SECOND));
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
