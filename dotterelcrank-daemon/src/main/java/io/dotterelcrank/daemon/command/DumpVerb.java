package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.SharedJsonMapper;
import io.dotterelcrank.daemon.client.HttpHostList;
import io.dotterelcrank.daemon.client.JsonHttpClient;
import io.dotterelcrank.daemon.settings.PlatformSettings;
import io.dotterelcrank.daemon.settings.SettingsReader;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.request.RequestException;

/**
 * Prints the state of a process as JSON.
 */
@Command(name = "dump", description = "Print the state of a process as JSON")
public class DumpVerb implements Verb {

	@AirlineModule
	PlatformOptions platform = new PlatformOptions();

	@Arguments(title = "host", description = "Name of the host in the host list")
	List<String> arguments;

	@Option(name = "--operator-token", title = "TOKEN", description = "Token that the process requires (default: none)")
	String operatorToken;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, PlatformException, IOException {
		String name = ArgumentParser.requireSingle(this.arguments, "dump HOST");
		SettingsReader reader = SettingsReader.of(System.getenv());
		PlatformSettings addresses = this.platform.read(reader);
		String bearerToken = reader.text("operator-token", this.operatorToken, "");
		reader.throwIfInvalid();
		HostList.Host host = HttpHostList.at(addresses.hostList())
			.hosts()
			.stream()
			.filter((listed) -> listed.name().equals(name))
			.findFirst()
			.orElseThrow(() -> AbstractChangeVerb.invalidInput("the host list does not contain host " + name));
		String state = JsonHttpClient.of("http://" + host.address() + ":" + host.operatorPort())
			.getText("/state", bearerToken);
		out.println(SharedJsonMapper.mapper().readTree(state).toPrettyString());
		return ExitCode.SUCCESS;
	}

}
