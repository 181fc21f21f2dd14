package io.dotterelcrank.daemon.logs;

import java.time.LocalTime;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One numbered event in a log. Immutable.
 *
 * @param process name of the process: the word before the time or, without one, the name
 * of the file
 * @param time time of day
 * @param eventNumber number of the event, without the prefix DC
 * @param text message of the event with its fields
 */
public record LogLine(String process, LocalTime time, int eventNumber, String text) {

	/**
	 * An optional prefix of a log collector, whose last word is the process name, then
	 * time, level, number and text.
	 */
	private static final Pattern FORMAT = Pattern
		.compile("^(?:.*?(\\S+)\\s+)?time=(\\S+) level=[A-Z]+ DC([0-9]{3}) (.*)$");

	/**
	 * Parses a line.
	 * @param defaultProcess process name if the line has none
	 * @param line the line
	 * @return the event, or empty if the line is no numbered event
	 */
	public static Optional<LogLine> parse(String defaultProcess, String line) {
		Matcher matcher = FORMAT.matcher(line);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		try {
			String process = (matcher.group(1) != null) ? matcher.group(1) : defaultProcess;
			return Optional.of(new LogLine(process, LocalTime.parse(matcher.group(2)),
					Integer.parseInt(matcher.group(3)), matcher.group(4)));
		}
		catch (DateTimeParseException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Returns the value of a field.
	 * @param name name of the field
	 * @return the text from {@code name=} to the next whitespace, or empty if the field
	 * is missing
	 */
	public Optional<String> field(String name) {
		Matcher matcher = Pattern.compile("(?:^| )" + Pattern.quote(name) + "=(\\S+)").matcher(this.text);
		return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
	}

}
