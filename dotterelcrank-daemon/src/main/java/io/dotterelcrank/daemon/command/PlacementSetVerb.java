package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.version.Change;
import io.dotterelcrank.version.Placement;

/**
 * Sets the model, adapter and role of the engines of a service.
 */
@Command(name = "set", description = "Set the model, adapter and role of the engines of a service")
public class PlacementSetVerb extends AbstractChangeVerb {

	@Option(name = "--service", title = "NAME", description = "Service that the engines belong to")
	String service;

	@Option(name = "--model", title = "NAME", description = "Model to load")
	String model;

	@Option(name = "--adapter", title = "NAME", description = "Adapter to load (default: none)")
	String adapter = "";

	@Option(name = "--model-version", title = "VERSION", description = "Version of the model")
	String modelVersion;

	@Option(name = "--role", title = "ROLE", description = "Role of the engines (default: serve)")
	String role = "serve";

	@Override
	List<Change> changes() {
		return List.of(new Change.Place(
				new Placement(this.service, this.model, this.adapter, this.modelVersion, this.role, 0)));
	}

}
