package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Change;

/**
 * Sets a fleet-wide default.
 */
@Command(name = "set", description = "Set a fleet-wide default: set NAME VALUE")
public class DefaultSetVerb extends AbstractChangeVerb {

	/** Name and value. */
	@Arguments(title = { "name", "value" }, description = "Setting and its value")
	List<String> words;

	@Override
	List<Change> changes() throws RequestException {
		if (this.words == null || this.words.size() != 2) {
			throw wrong("usage: default set NAME VALUE");
		}
		return List.of(new Change.SetDefault(Words.setting(this.words.get(0)), Words.number(this.words.get(1))));
	}

}
