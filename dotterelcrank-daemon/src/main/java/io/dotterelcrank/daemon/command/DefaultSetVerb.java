package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Change;

/**
 * Sets the default of a setting for the whole fleet.
 */
@Command(name = "set", description = "Set the default of a setting for the whole fleet: set NAME VALUE")
public class DefaultSetVerb extends AbstractChangeVerb {

	@Arguments(title = { "name", "value" }, description = "Name of the setting and its value")
	List<String> arguments;

	@Override
	List<Change> changes() throws RequestException {
		if (this.arguments == null || this.arguments.size() != 2) {
			throw invalidInput("usage: default set NAME VALUE");
		}
		return List.of(new Change.SetDefault(ArgumentParser.parseSetting(this.arguments.get(0)),
				ArgumentParser.parseInteger(this.arguments.get(1))));
	}

}
