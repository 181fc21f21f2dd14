package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.daemon.client.HttpTables;
import io.dotterelcrank.daemon.relay.RolloutRecord;
import io.dotterelcrank.process.replica.KeyedTableStore;
import io.dotterelcrank.request.RequestException;

/**
 * Orders a service to move to another version.
 */
@Command(name = "start", description = "Order a service to move to another version, whose targets run already")
public class RolloutStartVerb extends AbstractRolloutVerb {

	private static final long MILLIS_PER_SECOND = 1_000;

	/** One day. */
	private static final long MAX_SECONDS = 86_400;

	@Arguments(title = "service", description = "Name of the service")
	List<String> arguments;

	@Option(name = "--version", title = "VERSION", description = "Version that is to get all requests; required")
	String version;

	@Option(name = "--seconds", title = "NUMBER", description = "Time within which the roll-out has to end; required")
	String seconds;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, PlatformException, IOException {
		String service = ArgumentParser.requireSingle(this.arguments,
				"rollout start SERVICE --version VERSION --seconds NUMBER");
		long duration = ArgumentParser.parseInteger(this.seconds);
		if (duration < 1 || duration > MAX_SECONDS) {
			throw AbstractChangeVerb.invalidInput("--seconds must be from 1 to " + MAX_SECONDS);
		}
		if (this.version == null || !this.version.matches("[^\\p{Cntrl}]{1,200}")) {
			throw AbstractChangeVerb.invalidInput("--version must have 1 to 200 characters");
		}
		HttpTables tables = tables();
		KeyedTableStore.Batch orders = tables.list(RolloutRecord.ORDERS_TABLE);
		boolean running = statuses(tables, orders).stream()
			.anyMatch((status) -> status.service().equals(service) && !status.ended());
		if (running) {
			throw AbstractChangeVerb.invalidInput("a roll-out of service " + service + " is running, abort it first");
		}
		write(tables, orders.nextOffset(), service,
				RolloutRecord.encodeOrder(this.version, duration * MILLIS_PER_SECOND));
		print(out, statuses(tables, tables.list(RolloutRecord.ORDERS_TABLE)));
		return ExitCode.SUCCESS;
	}

}
