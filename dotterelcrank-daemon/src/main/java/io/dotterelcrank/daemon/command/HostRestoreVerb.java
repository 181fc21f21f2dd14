package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Change;

/**
 * End the draining of a host.
 */
@Command(name = "restore", description = "End the draining of a host")
public class HostRestoreVerb extends AbstractChangeVerb {

	/** Name of what changes. */
	@Arguments(title = "name", description = "Name of what changes")
	List<String> words;

	@Override
	List<Change> changes() throws RequestException {
		String name = Words.only(this.words, "host restore NAME");
		return List.of(new Change.RestoreHost(name));
	}

}
