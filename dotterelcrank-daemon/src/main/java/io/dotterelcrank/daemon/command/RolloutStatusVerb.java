package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;

import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.daemon.client.HttpTables;
import io.dotterelcrank.daemon.relay.RolloutRecord;
import io.dotterelcrank.request.RequestException;

/**
 * Shows the roll-outs that are ordered, with their stage and the evidence for it.
 */
@Command(name = "status", description = "Show the roll-outs that are ordered, their stage and the evidence for it")
public class RolloutStatusVerb extends AbstractRolloutVerb {

	@Override
	public ExitCode run(PrintStream out) throws RequestException, PlatformException, IOException {
		HttpTables tables = tables();
		print(out, statuses(tables, tables.list(RolloutRecord.ORDERS_TABLE)));
		return ExitCode.SUCCESS;
	}

}
