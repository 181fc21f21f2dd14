package io.dotterelcrank.daemon.logs;

import java.time.LocalTime;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One numbered event in a log. Immutable.
 *
 * @param process name of the process, which stands before the time or names the file
 * @param time time of day
 * @param number number of the event
 * @param text the event with its values
 */
public record LogLine(String process, LocalTime time, int number, String text) {

	/**
	 * A line of a log: whatever a collector put before it, its last word being the
	 * process, then time, level, number and text.
	 */
	private static final Pattern FORM = Pattern
		.compile("^(?:.*?(\\S+)\\s+)?time=(\\S+) level=[A-Z]+ DC([0-9]{3}) (.*)$");

	/**
	 * Reads a line.
	 * @param file name of the process if the line names none
	 * @param line the line
	 * @return the event, or nothing if the line holds none
	 */
	public static Optional<LogLine> parse(String file, String line) {
		Matcher parts = FORM.matcher(line);
		if (!parts.matches()) {
			return Optional.empty();
		}
		try {
			String process = (parts.group(1) != null) ? parts.group(1) : file;
			return Optional.of(new LogLine(process, LocalTime.parse(parts.group(2)), Integer.parseInt(parts.group(3)),
					parts.group(4)));
		}
		catch (DateTimeParseException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Returns the value of a field.
	 * @param name name of the field
	 * @return what follows {@code name=} up to the next space, if the line has it
	 */
	public Optional<String> field(String name) {
		Matcher value = Pattern.compile("(?:^| )" + Pattern.quote(name) + "=(\\S+)").matcher(this.text);
		return value.find() ? Optional.of(value.group(1)) : Optional.empty();
	}

}
