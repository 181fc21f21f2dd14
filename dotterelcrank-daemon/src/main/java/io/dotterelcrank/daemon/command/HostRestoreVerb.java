package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Change;

/**
 * Restores a drained host.
 */
@Command(name = "restore", description = "Restore a drained host")
public class HostRestoreVerb extends AbstractChangeVerb {

	@Arguments(title = "name", description = "Name of the host")
	List<String> arguments;

	@Override
	List<Change> changes() throws RequestException {
		String name = ArgumentParser.requireSingle(this.arguments, "host restore NAME");
		return List.of(new Change.RestoreHost(name));
	}

}
