package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Change;

/**
 * Bring a data centre back.
 */
@Command(name = "return", description = "Bring a data centre back")
public class DataCentreReturnVerb extends AbstractChangeVerb {

	/** Name of what changes. */
	@Arguments(title = "name", description = "Name of what changes")
	List<String> words;

	@Override
	List<Change> changes() throws RequestException {
		String name = Words.only(this.words, "data-centre return NAME");
		return List.of(new Change.DataCentreBack(name));
	}

}
