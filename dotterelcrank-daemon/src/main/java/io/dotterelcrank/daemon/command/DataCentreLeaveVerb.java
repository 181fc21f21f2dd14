package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Change;

/**
 * Take a data centre out.
 */
@Command(name = "leave", description = "Take a data centre out")
public class DataCentreLeaveVerb extends AbstractChangeVerb {

	/** Name of what changes. */
	@Arguments(title = "name", description = "Name of what changes")
	List<String> words;

	/** Why. */
	@Option(name = "--reason", title = "TEXT", description = "Why; required")
	String reason;

	@Override
	List<Change> changes() throws RequestException {
		String name = Words.only(this.words, "data-centre leave NAME --reason TEXT");
		return List.of(new Change.DataCentreOut(name, this.reason));
	}

}
