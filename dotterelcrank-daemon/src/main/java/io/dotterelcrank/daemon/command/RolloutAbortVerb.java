package io.dotterelcrank.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.daemon.client.HttpTables;
import io.dotterelcrank.daemon.relay.RolloutRecord;
import io.dotterelcrank.process.replica.KeyedTableStore;
import io.dotterelcrank.request.RequestException;

/**
 * Withdraws the order of a roll-out: its version gets nothing any more.
 */
@Command(name = "abort", description = "Withdraw the order of a roll-out, so that its version gets nothing any more")
public class RolloutAbortVerb extends AbstractRolloutVerb {

	@Arguments(title = "service", description = "Name of the service")
	List<String> arguments;

	@Override
	public ExitCode run(PrintStream out) throws RequestException, PlatformException, IOException {
		String service = ArgumentParser.requireSingle(this.arguments, "rollout abort SERVICE");
		HttpTables tables = tables();
		KeyedTableStore.Batch orders = tables.list(RolloutRecord.ORDERS_TABLE);
		RolloutStatus status = statuses(tables, orders).stream()
			.filter((candidate) -> candidate.service().equals(service))
			.findFirst()
			.orElseThrow(() -> AbstractChangeVerb.invalidInput("no roll-out of service " + service + " is ordered"));
		if (status.ended()) {
			throw AbstractChangeVerb
				.invalidInput("the roll-out of service " + service + " has ended: " + status.stage());
		}
		write(tables, orders.nextOffset(), service, new byte[0]);
		print(out, statuses(tables, tables.list(RolloutRecord.ORDERS_TABLE)));
		return ExitCode.SUCCESS;
	}

}
