package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Change;

/**
 * Remove an exception.
 */
@Command(name = "remove", description = "Remove an exception")
public class ExceptionRemoveVerb extends AbstractChangeVerb {

	/** Name of what changes. */
	@Arguments(title = "name", description = "Name of what changes")
	List<String> words;

	@Override
	List<Change> changes() throws RequestException {
		String name = Words.only(this.words, "exception remove ID");
		return List.of(new Change.RemoveException(name));
	}

}
