package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Change;

/**
 * Takes a data centre out of service.
 */
@Command(name = "leave", description = "Take a data centre out of service")
public class DataCentreLeaveVerb extends AbstractChangeVerb {

	@Arguments(title = "name", description = "Name of the data centre")
	List<String> arguments;

	@Option(name = "--reason", title = "TEXT", description = "Reason; required")
	String reason;

	@Override
	List<Change> changes() throws RequestException {
		String name = ArgumentParser.requireSingle(this.arguments, "data-centre leave NAME --reason TEXT");
		return List.of(new Change.DataCentreOut(name, this.reason));
	}

}
