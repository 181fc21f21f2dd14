package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.daemon.settings.SettingsReader;
import io.dotterelcrank.daemon.settings.SidecarSettings;
import io.dotterelcrank.daemon.wiring.SidecarDaemon;
import io.dotterelcrank.request.RequestException;

/**
 * Runs a sidecar daemon.
 */
@Command(name = "sidecar", description = "Run the sidecar of a model engine or plain service")
public class SidecarVerb implements Verb {

	@AirlineModule
	DaemonOptions daemon = new DaemonOptions();

	@AirlineModule
	PlatformOptions platform = new PlatformOptions();

	@Option(name = "--service", title = "NAME", description = "Service that the target belongs to")
	String service;

	@Option(name = "--model", title = "NAME", description = "Model served; omit for a plain service")
	String model;

	@Option(name = "--target", title = "URL", description = "Address of the engine or plain service")
	String target;

	@Option(name = "--admission", title = "POLICY",
			description = "Admission policy: forecast (default), fixed-N, reserve-max or mean-length")
	String admission;

	@Option(name = "--engine-checks-fences", title = "YESNO",
			description = "Whether the engine refuses orders with a stale fencing token: no (default) or yes")
	String fences;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, IOException {
		SidecarDaemon sidecar = SidecarDaemon.of(settings());
		DaemonRunner.run(sidecar, () -> out.println("sidecar " + this.daemon.name + " serves entry hosts on port "
				+ sidecar.port() + " and operators on port " + sidecar.operatorPort()));
		return ExitCode.SUCCESS;
	}

	private SidecarSettings settings() throws RequestException {
		SettingsReader reader = SettingsReader.of(System.getenv());
		String modelName = reader.text("model", this.model, "");
		SidecarSettings settings = new SidecarSettings(reader.name("name", this.daemon.name, null),
				reader.name("data-centre", this.daemon.dataCentre, null), reader.name("service", this.service, null),
				modelName, reader.url("target", this.target, null),
				reader.ipAddress("address", this.daemon.address, "127.0.0.1"),
				reader.port("port", this.daemon.port, null),
				reader.port("operator-port", this.daemon.operatorPort, "0"),
				reader.text("operator-token", this.daemon.operatorToken, ""), this.platform.read(reader),
				reader.choice("admission", this.admission, "forecast",
						"forecast(-without-(ramp|step|memory|share))?|fixed-[1-9][0-9]{0,4}|reserve-max|mean-length"),
				reader.choice("engine-checks-fences", this.fences, "no", "yes|no").equals("yes"));
		reader.throwIfInvalid();
		return settings;
	}

}
