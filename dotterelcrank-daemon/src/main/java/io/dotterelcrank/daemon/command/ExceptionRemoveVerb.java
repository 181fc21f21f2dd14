package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Change;

/**
 * Removes an exception.
 */
@Command(name = "remove", description = "Remove an exception")
public class ExceptionRemoveVerb extends AbstractChangeVerb {

	@Arguments(title = "id", description = "Id of the exception")
	List<String> arguments;

	@Override
	List<Change> changes() throws RequestException {
		String id = ArgumentParser.requireSingle(this.arguments, "exception remove ID");
		return List.of(new Change.RemoveException(id));
	}

}
