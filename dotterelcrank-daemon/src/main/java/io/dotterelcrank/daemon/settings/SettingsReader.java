package io.dotterelcrank.daemon.settings;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * Reads settings from flags, then from environment variables, then from defaults, and
 * collects every fault, so that all are reported at once. Not thread-safe.
 */
public final class SettingsReader {

	/** Start of the names of environment variables. */
	private static final String PREFIX = "DOTTERELCRANK_";

	/** Largest port number. */
	private static final int LAST_PORT = 65_535;

	/** Environment variables. */
	private final Map<String, String> environment;

	/** Faults so far. */
	private final List<String> faults = new ArrayList<>();

	private SettingsReader(Map<String, String> environment) {
		this.environment = environment;
	}

	/**
	 * Creates a reader.
	 * @param environment environment variables
	 * @return a new reader
	 */
	public static SettingsReader of(Map<String, String> environment) {
		return new SettingsReader(environment);
	}

	/**
	 * Reads a text.
	 * @param name name of the flag, without hyphens at the front
	 * @param flag value of the flag, or {@code null}
	 * @param standard default, or {@code null} if the setting is required
	 * @return the value, or an empty string after a fault
	 */
	public String text(String name, String flag, String standard) {
		String variable = PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
		String value = (flag != null) ? flag : this.environment.getOrDefault(variable, standard);
		if (value == null) {
			this.faults.add("--" + name + " (or " + variable + ") is missing");
			return "";
		}
		return value.trim();
	}

	/**
	 * Reads a name: letters, digits, hyphens, dots and underscores.
	 * @param name name of the flag
	 * @param flag value of the flag, or {@code null}
	 * @param standard default, or {@code null} if the setting is required
	 * @return the value
	 */
	public String name(String name, String flag, String standard) {
		String value = text(name, flag, standard);
		if (!value.isEmpty() && !value.matches("[A-Za-z0-9._-]{1,64}")) {
			this.faults.add("--" + name + " must be 1 to 64 letters, digits, hyphens, dots or underscores, not '"
					+ value + "'");
		}
		return value;
	}

	/**
	 * Reads a whole number.
	 * @param name name of the flag
	 * @param flag value of the flag, or {@code null}
	 * @param standard default, or {@code null} if the setting is required
	 * @param smallest smallest value
	 * @param largest largest value
	 * @return the value, or the smallest one after a fault
	 */
	public long number(String name, String flag, String standard, long smallest, long largest) {
		String value = text(name, flag, standard);
		if (value.isEmpty()) {
			return smallest;
		}
		boolean whole = value.matches("-?[0-9]{1,15}");
		if (!whole || Long.parseLong(value) < smallest || Long.parseLong(value) > largest) {
			this.faults.add("--" + name + " must be a whole number from " + smallest + " to " + largest + ", not '"
					+ value + "'");
			return smallest;
		}
		return Long.parseLong(value);
	}

	/**
	 * Reads a port.
	 * @param name name of the flag
	 * @param flag value of the flag, or {@code null}
	 * @param standard default, or {@code null} if the setting is required
	 * @return the port; 0 stands for a free one
	 */
	public int port(String name, String flag, String standard) {
		return (int) number(name, flag, standard, 0, LAST_PORT);
	}

	/**
	 * Reads an IP number.
	 * @param name name of the flag
	 * @param flag value of the flag, or {@code null}
	 * @param standard default, or {@code null} if the setting is required
	 * @return the value
	 */
	public String ipAddress(String name, String flag, String standard) {
		String value = text(name, flag, standard);
		boolean four = value.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}");
		boolean six = value.contains(":") && value.matches("[0-9A-Fa-f:.]+");
		if (!value.isEmpty() && !four && !six) {
			this.faults.add("--" + name + " must be an IP number, not '" + value + "'");
		}
		return value;
	}

	/**
	 * Reads an HTTP address.
	 * @param name name of the flag
	 * @param flag value of the flag, or {@code null}
	 * @param standard default, or {@code null} if the setting is required
	 * @return the value
	 */
	public String url(String name, String flag, String standard) {
		String value = text(name, flag, standard);
		if (!value.isEmpty() && !httpAddress(value)) {
			this.faults.add("--" + name + " must be an address such as http://127.0.0.1:7000, not '" + value + "'");
		}
		return value;
	}

	private static boolean httpAddress(String value) {
		try {
			URI uri = new URI(value);
			boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
			return http && uri.getHost() != null;
		}
		catch (URISyntaxException ex) {
			return false;
		}
	}

	/**
	 * Reads one of several words.
	 * @param name name of the flag
	 * @param flag value of the flag, or {@code null}
	 * @param standard default
	 * @param words pattern that the value must match
	 * @return the value
	 */
	public String choice(String name, String flag, String standard, String words) {
		String value = text(name, flag, standard);
		if (!value.matches(words)) {
			this.faults.add("--" + name + " must match " + words + ", not '" + value + "'");
		}
		return value;
	}

	/**
	 * Adds a fault found elsewhere.
	 * @param fault the fault
	 */
	public void addError(String fault) {
		this.faults.add(fault);
	}

	/**
	 * Ends the reading.
	 * @throws RequestException if there was any fault; its message lists all
	 */
	public void throwIfInvalid() throws RequestException {
		if (!this.faults.isEmpty()) {
			throw Failure.notRun(ResultCode.INVALID_SETTING, String.join("; ", this.faults)).toException();
		}
	}

}
