package io.dotterelcrank.daemon.command;

import com.github.rvesse.airline.annotations.Option;

/**
 * Flags of both daemons. Set by the command line library.
 */
public class DaemonOptions {

	@Option(name = "--name", title = "NAME", description = "Name of this host in the host list")
	String name;

	@Option(name = "--data-centre", title = "NAME", description = "Data centre of this host")
	String dataCentre;

	@Option(name = "--address", title = "IP", description = "IP address to bind (default 127.0.0.1)")
	String address;

	@Option(name = "--port", title = "PORT", description = "Port for callers (entry daemon) or links (sidecar)")
	String port;

	@Option(name = "--operator-port", title = "PORT", description = "Port for operators")
	String operatorPort;

	@Option(name = "--operator-token", title = "TOKEN",
			description = "Token that operators must send (default: none required)")
	String operatorToken;

}
