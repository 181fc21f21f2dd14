package io.dotterelcrank.daemon.command;

import com.github.rvesse.airline.annotations.Option;

/**
 * Flags that both daemons have. Filled by the command line library.
 */
public class DaemonOptions {

	/** Name of the host. */
	@Option(name = "--name", title = "NAME", description = "Name of this host in the host list")
	String name;

	/** Data centre of the host. */
	@Option(name = "--data-centre", title = "NAME", description = "Data centre of this host")
	String dataCentre;

	/** IP number to bind. */
	@Option(name = "--address", title = "IP", description = "IP number to bind (default 127.0.0.1)")
	String address;

	/** Port to bind. */
	@Option(name = "--port", title = "PORT", description = "Port for callers or links")
	String port;

	/** Port for operators. */
	@Option(name = "--operator-port", title = "PORT", description = "Port for operators")
	String operatorPort;

	/** Token of the operators. */
	@Option(name = "--operator-token", title = "TOKEN", description = "Token that operators send (default none)")
	String operatorToken;

}
