package io.dotterelcrank.daemon.command;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.ExceptionRule;
import io.dotterelcrank.version.Setting;

/**
 * Reads words of the command line. Stateless.
 */
final class Words {

	private Words() {
	}

	/**
	 * Reads the name of a setting.
	 * @param word the word, or {@code null}
	 * @return the setting
	 * @throws RequestException if there is no such setting
	 */
	static Setting setting(String word) throws RequestException {
		return Setting.named(String.valueOf(word))
			.orElseThrow(() -> AbstractChangeVerb.wrong("unknown setting '" + word + "'; known are "
					+ Arrays.stream(Setting.values()).map(Setting::label).toList()));
	}

	/**
	 * Reads a whole number.
	 * @param word the word, or {@code null}
	 * @return the number
	 * @throws RequestException if it is not a whole number
	 */
	static long number(String word) throws RequestException {
		if (word == null || !word.matches("-?[0-9]{1,15}")) {
			throw AbstractChangeVerb.wrong("'" + word + "' is not a whole number");
		}
		return Long.parseLong(word);
	}

	/**
	 * Reads the scope of an exception.
	 * @param word the word, or {@code null}
	 * @return the scope
	 * @throws RequestException if there is no such scope
	 */
	static ExceptionRule.Scope scope(String word) throws RequestException {
		try {
			return ExceptionRule.Scope.valueOf(String.valueOf(word).toUpperCase(Locale.ROOT).replace('-', '_'));
		}
		catch (IllegalArgumentException ex) {
			throw AbstractChangeVerb.wrong("--scope must be workspace, service, host or data-centre");
		}
	}

	/**
	 * Reads the only word.
	 * @param words the words, or {@code null}
	 * @param usage what should stand there
	 * @return the word
	 * @throws RequestException if there is not one word
	 */
	static String only(List<String> words, String usage) throws RequestException {
		if (words == null || words.size() != 1) {
			throw AbstractChangeVerb.wrong("usage: " + usage);
		}
		return words.get(0);
	}

}
