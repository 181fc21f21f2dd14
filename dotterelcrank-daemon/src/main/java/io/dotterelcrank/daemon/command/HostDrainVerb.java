package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Change;

/**
 * Drains the host of a target: it gets no new requests.
 */
@Command(name = "drain", description = "Drain the host of a target, so that it gets no new requests")
public class HostDrainVerb extends AbstractChangeVerb {

	@Arguments(title = "name", description = "Name of the host")
	List<String> arguments;

	@Option(name = "--reason", title = "TEXT", description = "Reason; required")
	String reason;

	@Override
	List<Change> changes() throws RequestException {
		String name = ArgumentParser.requireSingle(this.arguments, "host drain NAME --reason TEXT");
		return List.of(new Change.DrainHost(name, this.reason));
	}

}
