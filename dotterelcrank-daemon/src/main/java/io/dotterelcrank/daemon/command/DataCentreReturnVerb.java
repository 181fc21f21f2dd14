package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Change;

/**
 * Returns a data centre to service.
 */
@Command(name = "return", description = "Return a data centre to service")
public class DataCentreReturnVerb extends AbstractChangeVerb {

	@Arguments(title = "name", description = "Name of the data centre")
	List<String> arguments;

	@Override
	List<Change> changes() throws RequestException {
		String name = ArgumentParser.requireSingle(this.arguments, "data-centre return NAME");
		return List.of(new Change.DataCentreBack(name));
	}

}
