package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Change;

/**
 * Drain a target's host.
 */
@Command(name = "drain", description = "Drain a target's host")
public class HostDrainVerb extends AbstractChangeVerb {

	/** Name of what changes. */
	@Arguments(title = "name", description = "Name of what changes")
	List<String> words;

	/** Why. */
	@Option(name = "--reason", title = "TEXT", description = "Why; required")
	String reason;

	@Override
	List<Change> changes() throws RequestException {
		String name = Words.only(this.words, "host drain NAME --reason TEXT");
		return List.of(new Change.DrainHost(name, this.reason));
	}

}
