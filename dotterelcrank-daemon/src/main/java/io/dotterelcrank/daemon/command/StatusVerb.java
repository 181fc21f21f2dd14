package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
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
 * Shows each process with its configuration version, and names those that lag.
 */
@Command(name = "status", description = "Show each process, its configuration version, and who lags behind")
public class StatusVerb implements Verb {

	/** Where the platform's systems are. */
	@AirlineModule
	PlatformOptions platform = new PlatformOptions();

	/** Form of the result. */
	@AirlineModule
	OutputOptions output = new OutputOptions();

	/** Token of the operators. */
	@Option(name = "--operator-token", title = "TOKEN", description = "Token that the processes expect")
	String token;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, PlatformException, IOException {
		SettingsReader reader = SettingsReader.of(System.getenv());
		PlatformSettings addresses = this.platform.read(reader);
		String bearer = reader.text("operator-token", this.token, "");
		reader.throwIfInvalid();
		List<ProcessStatus> processes = new ArrayList<>();
		for (HostList.Host host : HttpHostList.at(addresses.hostList()).hosts()) {
			processes.add(status(host, bearer));
		}
		long newest = processes.stream().mapToLong(ProcessStatus::version).max().orElse(0);
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("HOST", "ROLE", "DATA CENTRE", "VERSION", "OPEN", "STATE"));
		processes.forEach((process) -> rows.add(process.row(newest)));
		this.output.print(out, processes, rows);
		boolean lagging = processes.stream().anyMatch((process) -> process.version() < newest);
		return lagging ? ExitCode.UNAVAILABLE : ExitCode.DONE;
	}

	private static ProcessStatus status(HostList.Host host, String token) {
		try {
			HttpCaller caller = HttpCaller.of("http://" + host.address() + ":" + host.operatorPort());
			JsonNode state = SharedJsonMapper.mapper().readTree(caller.text("/state", token));
			return new ProcessStatus(host.name(), host.role(), host.dataCentre(),
					state.path("configurationVersion").asLong(), state.path("open").asLong(),
					state.path("leaving").asBoolean() ? "leaving"
							: state.path("ready").asBoolean() ? "ready" : "not ready");
		}
		catch (PlatformException | IOException ex) {
			return new ProcessStatus(host.name(), host.role(), host.dataCentre(), -1, 0,
					"not reached: " + ex.getMessage());
		}
	}

	/**
	 * Status of a process. Immutable.
	 *
	 * @param host name of the host
	 * @param role what runs on it
	 * @param dataCentre its data centre
	 * @param version configuration version in force there, or -1
	 * @param open requests that have not ended
	 * @param state ready, not ready, leaving, or why it was not reached
	 */
	record ProcessStatus(String host, HostList.Role role, String dataCentre, long version, long open, String state) {

		private List<String> row(long newest) {
			String note = (this.version >= 0 && this.version < newest) ? " (lags behind)" : "";
			return List.of(this.host, this.role.name(), this.dataCentre, Long.toString(this.version) + note,
					Long.toString(this.open), this.state);
		}

	}

}
