package io.dotterelcrank.daemon.settings;

import java.math.BigDecimal;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * Reads settings from flags, else from environment variables, else from defaults. Methods
 * return a value even if it is invalid; all errors are collected and reported at once by
 * {@link #throwIfInvalid}. Not thread-safe.
 */
public final class SettingsReader {

	private static final String ENVIRONMENT_PREFIX = "DOTTERELCRANK_";

	private static final int MAX_PORT = 65_535;

	/** Finite decimal number as the usual languages print it. */
	private static final Pattern DECIMAL = Pattern
		.compile("[+-]?([0-9]{1,1100}(\\.[0-9]{0,1100})?|\\.[0-9]{1,1100})([eE][+-]?[0-9]{1,3})?");

	private final Map<String, String> environment;

	private final List<String> errors = new ArrayList<>();

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
	 * Reads a string.
	 * @param name name of the flag, without leading hyphens
	 * @param flag value of the flag, or {@code null} if it was not given
	 * @param defaultValue default, or {@code null} if the setting is required
	 * @return the value without surrounding whitespace; empty if it is missing
	 */
	public String text(String name, String flag, String defaultValue) {
		String variable = ENVIRONMENT_PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
		String value = (flag != null) ? flag : this.environment.getOrDefault(variable, defaultValue);
		if (value == null) {
			this.errors.add("--" + name + " (or " + variable + ") is missing");
			return "";
		}
		return value.trim();
	}

	/**
	 * Reads a name of 1 to 64 letters, digits, hyphens, dots or underscores.
	 * @param name name of the flag
	 * @param flag value of the flag, or {@code null} if it was not given
	 * @param defaultValue default, or {@code null} if the setting is required
	 * @return the value
	 */
	public String name(String name, String flag, String defaultValue) {
		String value = text(name, flag, defaultValue);
		if (!value.isEmpty() && !value.matches("[A-Za-z0-9._-]{1,64}")) {
			this.errors.add("--" + name + " must be 1 to 64 letters, digits, hyphens, dots or underscores, not '"
					+ value + "'");
		}
		return value;
	}

	/**
	 * Reads an integer.
	 * @param name name of the flag
	 * @param flag value of the flag, or {@code null} if it was not given
	 * @param defaultValue default, or {@code null} if the setting is required
	 * @param min minimum, inclusive
	 * @param max maximum, inclusive
	 * @return the value, or the minimum if it is missing or invalid
	 */
	public long number(String name, String flag, String defaultValue, long min, long max) {
		String value = text(name, flag, defaultValue);
		if (value.isEmpty()) {
			return min;
		}
		Optional<BigDecimal> parsed = parseDecimal(value);
		boolean valid = parsed.isPresent() && isWithin(parsed.get(), min, max)
				&& parsed.get().stripTrailingZeros().scale() <= 0;
		if (!valid) {
			this.errors.add("--" + name + " must be an integer from " + min + " to " + max + ", not '" + value + "'");
			return min;
		}
		return parsed.get().longValueExact();
	}

	/**
	 * Reads a decimal number with any number of digits, with or without an exponent.
	 * @param name name of the flag
	 * @param flag value of the flag, or {@code null} if it was not given
	 * @param defaultValue default, or {@code null} if the setting is required
	 * @param min minimum, inclusive
	 * @param max maximum, inclusive
	 * @return the value, or the minimum if it is missing or invalid
	 */
	public double decimal(String name, String flag, String defaultValue, double min, double max) {
		String value = text(name, flag, defaultValue);
		if (value.isEmpty()) {
			return min;
		}
		Optional<BigDecimal> parsed = parseDecimal(value);
		if (parsed.isEmpty() || !isWithin(parsed.get(), min, max)) {
			this.errors.add("--" + name + " must be a decimal number from " + BigDecimal.valueOf(min).toPlainString()
					+ " to " + BigDecimal.valueOf(max).toPlainString() + ", not '" + value + "'");
			return min;
		}
		return parsed.get().doubleValue();
	}

	private static Optional<BigDecimal> parseDecimal(String value) {
		return DECIMAL.matcher(value).matches() ? Optional.of(new BigDecimal(value)) : Optional.empty();
	}

	private static boolean isWithin(BigDecimal value, double min, double max) {
		return value.compareTo(BigDecimal.valueOf(min)) >= 0 && value.compareTo(BigDecimal.valueOf(max)) <= 0;
	}

	/**
	 * Reads a port number.
	 * @param name name of the flag
	 * @param flag value of the flag, or {@code null} if it was not given
	 * @param defaultValue default, or {@code null} if the setting is required
	 * @return the port; 0 lets the system choose a free one
	 */
	public int port(String name, String flag, String defaultValue) {
		return (int) number(name, flag, defaultValue, 0, MAX_PORT);
	}

	/**
	 * Reads an IPv4 or IPv6 address.
	 * @param name name of the flag
	 * @param flag value of the flag, or {@code null} if it was not given
	 * @param defaultValue default, or {@code null} if the setting is required
	 * @return the value
	 */
	public String ipAddress(String name, String flag, String defaultValue) {
		String value = text(name, flag, defaultValue);
		boolean ipv4 = value.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}");
		boolean ipv6 = value.contains(":") && value.matches("[0-9A-Fa-f:.]+");
		if (!value.isEmpty() && !ipv4 && !ipv6) {
			this.errors.add("--" + name + " must be an IP address, not '" + value + "'");
		}
		return value;
	}

	/**
	 * Reads an HTTP or HTTPS URL.
	 * @param name name of the flag
	 * @param flag value of the flag, or {@code null} if it was not given
	 * @param defaultValue default, or {@code null} if the setting is required
	 * @return the value
	 */
	public String url(String name, String flag, String defaultValue) {
		String value = text(name, flag, defaultValue);
		if (!value.isEmpty() && !isHttpUrl(value)) {
			this.errors.add("--" + name + " must be a URL such as http://127.0.0.1:7000, not '" + value + "'");
		}
		return value;
	}

	private static boolean isHttpUrl(String value) {
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
	 * Reads a string that must match a pattern.
	 * @param name name of the flag
	 * @param flag value of the flag, or {@code null} if it was not given
	 * @param defaultValue default; must match the pattern
	 * @param pattern regular expression for the whole value
	 * @return the value
	 */
	public String choice(String name, String flag, String defaultValue, String pattern) {
		String value = text(name, flag, defaultValue);
		if (!value.matches(pattern)) {
			this.errors.add("--" + name + " must match " + pattern + ", not '" + value + "'");
		}
		return value;
	}

	/**
	 * Adds an error that was found elsewhere.
	 * @param error message that names the flag
	 */
	public void addError(String error) {
		this.errors.add(error);
	}

	/**
	 * Reports the collected errors; to be called after the last setting was read.
	 * @throws RequestException if a setting was missing or invalid; its message lists all
	 * errors
	 */
	public void throwIfInvalid() throws RequestException {
		if (!this.errors.isEmpty()) {
			throw Failure.notRun(ResultCode.INVALID_SETTING, String.join("; ", this.errors)).toException();
		}
	}

}
