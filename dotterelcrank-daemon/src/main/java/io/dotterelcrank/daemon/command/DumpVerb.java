package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.daemon.client.HttpCaller;
import io.dotterelcrank.daemon.client.HttpHostList;
import io.dotterelcrank.daemon.settings.PlatformSettings;
import io.dotterelcrank.daemon.settings.SettingsReader;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.process.platform.SharedJsonMapper;
import io.dotterelcrank.request.RequestException;

/**
 * Prints the whole state of a process.
 */
@Command(name = "dump", description = "Print the whole state of a process as JSON")
public class DumpVerb implements Verb {

	/** Where the platform's systems are. */
	@AirlineModule
	PlatformOptions platform = new PlatformOptions();

	/** Name of the host. */
	@Arguments(title = "host", description = "Name of the host in the host list")
	List<String> words;

	/** Token of the operators. */
	@Option(name = "--operator-token", title = "TOKEN", description = "Token that the process expects")
	String token;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, PlatformException, IOException {
		String name = Words.only(this.words, "dump HOST");
		SettingsReader reader = SettingsReader.of(System.getenv());
		PlatformSettings addresses = this.platform.read(reader);
		String bearer = reader.text("operator-token", this.token, "");
		reader.throwIfInvalid();
		HostList.Host host = HttpHostList.at(addresses.hostList())
			.hosts()
			.stream()
			.filter((listed) -> listed.name().equals(name))
			.findFirst()
			.orElseThrow(() -> AbstractChangeVerb.wrong("the host list has no host " + name));
		String state = HttpCaller.of("http://" + host.address() + ":" + host.operatorPort()).text("/state", bearer);
		out.println(SharedJsonMapper.mapper().readTree(state).toPrettyString());
		return ExitCode.DONE;
	}

}
