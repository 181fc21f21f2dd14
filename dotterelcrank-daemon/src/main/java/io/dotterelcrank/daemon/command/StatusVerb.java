package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.AirlineModule;
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
 * Shows the status of each process, and which run an old configuration version.
 */
@Command(name = "status", description = "Show each process, its configuration version, and whether that is out of date")
public class StatusVerb implements Verb {

	@AirlineModule
	PlatformOptions platform = new PlatformOptions();

	@AirlineModule
	OutputOptions output = new OutputOptions();

	@Option(name = "--operator-token", title = "TOKEN",
			description = "Token that the processes require (default: none)")
	String operatorToken;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, PlatformException, IOException {
		SettingsReader reader = SettingsReader.of(System.getenv());
		PlatformSettings addresses = this.platform.read(reader);
		String bearerToken = reader.text("operator-token", this.operatorToken, "");
		reader.throwIfInvalid();
		List<ProcessStatus> processes = new ArrayList<>();
		for (HostList.Host host : HttpHostList.at(addresses.hostList()).hosts()) {
			processes.add(queryStatus(host, bearerToken));
		}
		long newestVersion = processes.stream().mapToLong(ProcessStatus::version).max().orElse(0);
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("HOST", "ROLE", "DATA CENTRE", "VERSION", "OPEN", "STATE"));
		processes.forEach((process) -> rows.add(process.toRow(newestVersion)));
		this.output.print(out, processes, rows);
		boolean anyStale = processes.stream().anyMatch((process) -> process.version() < newestVersion);
		return anyStale ? ExitCode.UNAVAILABLE : ExitCode.SUCCESS;
	}

	private static ProcessStatus queryStatus(HostList.Host host, String bearerToken) {
		try {
			JsonHttpClient client = JsonHttpClient.of("http://" + host.address() + ":" + host.operatorPort());
			JsonNode dump = SharedJsonMapper.mapper().readTree(client.getText("/state", bearerToken));
			return new ProcessStatus(host.name(), host.role(), host.dataCentre(),
					dump.path("configurationVersion").asLong(), dump.path("open").asLong(),
					dump.path("leaving").asBoolean() ? "leaving"
							: dump.path("ready").asBoolean() ? "ready" : "not ready");
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
	 * @param role role of the host
	 * @param dataCentre data centre of the host
	 * @param version its configuration version; -1 if the process was not reached
	 * @param open number of open requests
	 * @param state ready, not ready, leaving, or why the process was not reached
	 */
	record ProcessStatus(String host, HostList.Role role, String dataCentre, long version, long open, String state) {

		private List<String> toRow(long newestVersion) {
			String note = (this.version >= 0 && this.version < newestVersion) ? " (out of date)" : "";
			return List.of(this.host, this.role.name(), this.dataCentre, Long.toString(this.version) + note,
					Long.toString(this.open), this.state);
		}

	}

}
