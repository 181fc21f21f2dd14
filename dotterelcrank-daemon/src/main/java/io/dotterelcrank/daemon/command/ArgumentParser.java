package io.dotterelcrank.daemon.command;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.ExceptionRule;
import io.dotterelcrank.version.Setting;

/**
 * Reads arguments of the command line. Stateless.
 */
final class ArgumentParser {

	private ArgumentParser() {
	}

	/**
	 * Reads the name of a setting.
	 * @param argument the argument, or {@code null}
	 * @return the setting
	 * @throws RequestException if there is no such setting
	 */
	static Setting parseSetting(String argument) throws RequestException {
		return Setting.named(String.valueOf(argument))
			.orElseThrow(() -> AbstractChangeVerb.invalidInput("unknown setting '" + argument + "'; known settings: "
					+ Arrays.stream(Setting.values()).map(Setting::label).toList()));
	}

	/**
	 * Reads an integer of at most 15 digits.
	 * @param argument the argument, or {@code null}
	 * @return the number
	 * @throws RequestException if it is not an integer
	 */
	static long parseInteger(String argument) throws RequestException {
		if (argument == null || !argument.matches("-?[0-9]{1,15}")) {
			throw AbstractChangeVerb.invalidInput("'" + argument + "' is not an integer");
		}
		return Long.parseLong(argument);
	}

	/**
	 * Reads the scope of an exception.
	 * @param argument the argument, in lower or upper case, or {@code null}
	 * @return the scope
	 * @throws RequestException if there is no such scope
	 */
	static ExceptionRule.Scope parseScope(String argument) throws RequestException {
		try {
			return ExceptionRule.Scope.valueOf(String.valueOf(argument).toUpperCase(Locale.ROOT).replace('-', '_'));
		}
		catch (IllegalArgumentException ex) {
			throw AbstractChangeVerb.invalidInput("--scope must be workspace, service, host or data-centre");
		}
	}

	/**
	 * Returns the only argument.
	 * @param arguments the arguments, or {@code null}
	 * @param usage usage line for the error message
	 * @return the argument
	 * @throws RequestException if there is not exactly one argument
	 */
	static String requireSingle(List<String> arguments, String usage) throws RequestException {
		if (arguments == null || arguments.size() != 1) {
			throw AbstractChangeVerb.invalidInput("usage: " + usage);
		}
		return arguments.get(0);
	}

}
