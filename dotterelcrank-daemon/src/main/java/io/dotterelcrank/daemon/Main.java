package io.dotterelcrank.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.parser.ParseResult;
import com.github.rvesse.airline.parser.errors.ParseException;
import com.github.rvesse.airline.parser.errors.handlers.CollectAll;

import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.daemon.command.ConfigHistoryVerb;
import io.dotterelcrank.daemon.command.ConfigPublishVerb;
import io.dotterelcrank.daemon.command.ConfigShowVerb;
import io.dotterelcrank.daemon.command.ConfigValidateVerb;
import io.dotterelcrank.daemon.command.DataCentreLeaveVerb;
import io.dotterelcrank.daemon.command.DataCentreReturnVerb;
import io.dotterelcrank.daemon.command.DefaultSetVerb;
import io.dotterelcrank.daemon.command.DemoVerb;
import io.dotterelcrank.daemon.command.DumpVerb;
import io.dotterelcrank.daemon.command.EntryVerb;
import io.dotterelcrank.daemon.command.ExceptionAddVerb;
import io.dotterelcrank.daemon.command.ExceptionListVerb;
import io.dotterelcrank.daemon.command.ExceptionRemoveVerb;
import io.dotterelcrank.daemon.command.ExitCode;
import io.dotterelcrank.daemon.command.ExplainVerb;
import io.dotterelcrank.daemon.command.HelpVerb;
import io.dotterelcrank.daemon.command.HostDrainVerb;
import io.dotterelcrank.daemon.command.HostRestoreVerb;
import io.dotterelcrank.daemon.command.LoadVerb;
import io.dotterelcrank.daemon.command.PlacementSetVerb;
import io.dotterelcrank.daemon.command.RolloutAbortVerb;
import io.dotterelcrank.daemon.command.RolloutStartVerb;
import io.dotterelcrank.daemon.command.RolloutStatusVerb;
import io.dotterelcrank.daemon.command.SidecarVerb;
import io.dotterelcrank.daemon.command.StandinVerb;
import io.dotterelcrank.daemon.command.StatusVerb;
import io.dotterelcrank.daemon.command.TimelineVerb;
import io.dotterelcrank.daemon.command.Verb;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * Entry point of the command line. Stateless.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs a command and exits with its code.
	 * @param arguments command, options and operands
	 */
	public static void main(String[] arguments) {
		System.exit(run(arguments, System.out, System.err).number());
	}

	/**
	 * Runs a command.
	 * @param arguments command, options and operands
	 * @param out stream for results
	 * @param err stream for error messages
	 * @return the exit code
	 */
	public static ExitCode run(String[] arguments, PrintStream out, PrintStream err) {
		ParseResult<Verb> parsed = cli().parseWithResult(arguments);
		if (!parsed.wasSuccessful()) {
			List<String> errors = parsed.getErrors().stream().map(ParseException::getMessage).toList();
			return report(Failure.notRun(ResultCode.INVALID_SETTING,
					String.join("; ", errors) + " (see 'dotterelcrank help')"), err);
		}
		return run(parsed.getCommand(), out, err);
	}

	private static ExitCode run(Verb verb, PrintStream out, PrintStream err) {
		try {
			return verb.run(out);
		}
		catch (RequestException ex) {
			return report(ex.failure(), err);
		}
		catch (PlatformException ex) {
			err.println("dotterelcrank: " + ex.getMessage());
			return ExitCode.UNAVAILABLE;
		}
		catch (IOException ex) {
			err.println("dotterelcrank: " + ex.getMessage());
			return ExitCode.BAD_INPUT;
		}
	}

	private static ExitCode report(Failure failure, PrintStream err) {
		ResultCode code = failure.code();
		err.println("dotterelcrank: " + code.number() + " " + code + ": " + failure.message() + " - " + code.advice());
		return ExitCode.of(failure);
	}

	private static Cli<Verb> cli() {
		CliBuilder<Verb> builder = Cli.<Verb>builder("dotterelcrank")
			.withDescription("Serves language-model generations of unknown length on crowded engines")
			.withDefaultCommand(HelpVerb.class)
			.withCommands(List.of(HelpVerb.class, DemoVerb.class, EntryVerb.class, SidecarVerb.class, StandinVerb.class,
					StatusVerb.class, DumpVerb.class, ExplainVerb.class, TimelineVerb.class, LoadVerb.class));
		builder.withParser().withErrorHandler(new CollectAll());
		builder.withGroup("config")
			.withDescription("Publish, show and check the configuration")
			.withCommands(List.of(ConfigPublishVerb.class, ConfigShowVerb.class, ConfigHistoryVerb.class,
					ConfigValidateVerb.class));
		builder.withGroup("default").withDescription("Fleet-wide defaults").withCommand(DefaultSetVerb.class);
		builder.withGroup("exception")
			.withDescription("Exceptions from the defaults")
			.withCommands(List.of(ExceptionAddVerb.class, ExceptionRemoveVerb.class, ExceptionListVerb.class));
		builder.withGroup("data-centre")
			.withDescription("Take a data centre out of service and put it back")
			.withCommands(List.of(DataCentreLeaveVerb.class, DataCentreReturnVerb.class));
		builder.withGroup("host")
			.withDescription("Drain a host and restore it")
			.withCommands(List.of(HostDrainVerb.class, HostRestoreVerb.class));
		builder.withGroup("rollout")
			.withDescription("Move a service to another version, step by step")
			.withCommands(List.of(RolloutStartVerb.class, RolloutStatusVerb.class, RolloutAbortVerb.class));
		builder.withGroup("placement").withDescription("Models that engines serve").withCommand(PlacementSetVerb.class);
		return builder.build();
	}

}
