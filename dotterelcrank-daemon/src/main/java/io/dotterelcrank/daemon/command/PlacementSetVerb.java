package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.version.Change;
import io.dotterelcrank.version.Placement;

/**
 * States what the engines of a service are to hold.
 */
@Command(name = "set", description = "State what the engines of a service are to hold")
public class PlacementSetVerb extends AbstractChangeVerb {

	/** Service of the engines. */
	@Option(name = "--service", title = "NAME", description = "Service of the engines")
	String service;

	/** Model to load. */
	@Option(name = "--model", title = "NAME", description = "Model to load")
	String model;

	/** Adapter to load. */
	@Option(name = "--adapter", title = "NAME", description = "Adapter to load (default none)")
	String adapter = "";

	/** Version of the model. */
	@Option(name = "--model-version", title = "VERSION", description = "Version of the model")
	String modelVersion;

	/** Role of the engines. */
	@Option(name = "--role", title = "ROLE", description = "Role of the engines (default serve)")
	String role = "serve";

	@Override
	List<Change> changes() {
		return List.of(new Change.Place(
				new Placement(this.service, this.model, this.adapter, this.modelVersion, this.role, 0)));
	}

}
