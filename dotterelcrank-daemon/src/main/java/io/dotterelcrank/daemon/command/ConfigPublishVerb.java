package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.common.SharedJsonMapper;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Change;

/**
 * Publishes the changes in a file; either all take effect or none.
 */
@Command(name = "publish", description = "Publish the changes in a file, a JSON list; either all take effect or none")
public class ConfigPublishVerb extends AbstractChangeVerb {

	@Arguments(title = "file", description = "File with a JSON list of changes")
	List<String> arguments;

	@Override
	List<Change> changes() throws RequestException, IOException {
		Path file = Path.of(ArgumentParser.requireSingle(this.arguments, "config publish FILE"));
		if (!Files.isReadable(file)) {
			throw invalidInput("cannot read " + file);
		}
		try {
			return SharedJsonMapper.mapper().readValue(Files.readAllBytes(file), new TypeReference<List<Change>>() {
			});
		}
		catch (JsonProcessingException ex) {
			throw invalidInput(file + " is not a JSON list of changes: " + ex.getOriginalMessage());
		}
	}

}
