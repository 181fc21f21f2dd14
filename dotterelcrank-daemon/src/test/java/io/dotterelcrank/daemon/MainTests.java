package io.dotterelcrank.daemon;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.daemon.command.ExitCode;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.standin.http.PlatformServer;
import io.dotterelcrank.standin.platform.StandinHostList;
import io.dotterelcrank.standin.platform.StandinLog;
import io.dotterelcrank.standin.platform.StandinWeightStore;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the command line.
 */
class MainTests {

	private static PlatformServer platform;

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@BeforeAll
	static void start() throws Exception {
		platform = PlatformServer.start(StandinLog.withRetention(Clock.system(), 3_600_000),
				StandinHostList.withLag(Clock.system(), 0), StandinWeightStore.withLoadInterval(Clock.system(), 0), 0);
	}

	@AfterAll
	static void stop() {
		platform.close();
	}

	private ExitCode run(String... arguments) {
		this.out.reset();
		this.err.reset();
		return Main.run(arguments, new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8));
	}

	private ExitCode runWithPlatform(String... arguments) {
		String[] all = Arrays.copyOf(arguments, arguments.length + 2);
		all[arguments.length] = "--platform";
		all[arguments.length + 1] = "http://127.0.0.1:" + platform.port();
		return run(all);
	}

	@Test
	void reportsAllInvalidSettingsAtOnce() {
		ExitCode code = run("sidecar", "--port", "seventy", "--address", "localhost", "--admission", "magic");
		assertThat(code).isEqualTo(ExitCode.BAD_INPUT);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains("--name", "--data-centre", "--service",
				"--target", "--port", "--address", "--admission", "--log-address");
	}

	@Test
	void unparsableArgumentsGetNumberedError() {
		run("load", "--unknown", "x");
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains(
				ResultCode.INVALID_SETTING.number() + " " + ResultCode.INVALID_SETTING.name(), "--unknown",
				"dotterelcrank help");
	}

	@Test
	void rejectsUnknownFlagsAndCommands() {
		assertThat(run("entry", "--unknown", "x")).isEqualTo(ExitCode.BAD_INPUT);
		assertThat(run("nonsense")).isEqualTo(ExitCode.BAD_INPUT);
		assertThat(run("default", "set", "token-target-millis")).isEqualTo(ExitCode.BAD_INPUT);
	}

	@Test
	void showsHelp() {
		assertThat(run("help")).isEqualTo(ExitCode.SUCCESS);
		assertThat(this.out.toString(StandardCharsets.UTF_8)).contains("data-centre", "exception", "demo");
	}

	@Test
	void explainsARequestFromLogs(@TempDir Path folder) throws Exception {
		Path log = folder.resolve("e1.log");
		Files.writeString(log, "time=10:00:03.000 level=INFO DC821 request=a1 target=i-1 send=1\n");
		assertThat(run("explain", "a1", "--log", log.toString())).isEqualTo(ExitCode.SUCCESS);
		assertThat(this.out.toString(StandardCharsets.UTF_8)).contains("e1 DC821 request=a1");
		assertThat(run("explain", "b2", "--log", log.toString())).isEqualTo(ExitCode.REFUSED);
		assertThat(run("explain", "a1")).isEqualTo(ExitCode.BAD_INPUT);
		assertThat(run("explain", "--log", log.toString())).isEqualTo(ExitCode.BAD_INPUT);
		assertThat(run("explain", "a1", "--log", folder.resolve("none").toString())).isEqualTo(ExitCode.BAD_INPUT);
		assertThat(run("timeline", "--log", log.toString(), "--at", "10:00:04")).isEqualTo(ExitCode.SUCCESS);
		assertThat(run("timeline", "--log", log.toString(), "--at", "noon")).isEqualTo(ExitCode.BAD_INPUT);
	}

	@Test
	void publishesShowsAndRejectsChanges() {
		assertThat(runWithPlatform("default", "set", "token-target-millis", "40")).isEqualTo(ExitCode.SUCCESS);
		assertThat(runWithPlatform("exception", "add", "--id", "x", "--scope", "workspace", "--subject", "big",
				"--setting", "share-weight", "--value", "50"))
			.isEqualTo(ExitCode.BAD_INPUT);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains("5002", "reason");
		assertThat(runWithPlatform("exception", "add", "--id", "x", "--scope", "workspace", "--subject", "big",
				"--setting", "share-weight", "--value", "50", "--reason", "wedding month"))
			.isEqualTo(ExitCode.SUCCESS);
		assertThat(runWithPlatform("data-centre", "leave", "giza", "--reason", "cable work", "--dry-run"))
			.isEqualTo(ExitCode.SUCCESS);
		assertThat(this.out.toString(StandardCharsets.UTF_8)).contains("data centre out", "giza");
		assertThat(runWithPlatform("config", "show")).isEqualTo(ExitCode.SUCCESS);
		assertThat(this.out.toString(StandardCharsets.UTF_8)).contains("wedding month").doesNotContain("giza");
		assertThat(runWithPlatform("default", "set", "token-target-millis", "41", "--based-on", "0"))
			.isEqualTo(ExitCode.REFUSED);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains("5001");
		assertThat(runWithPlatform("config", "history", "--output", "json")).isEqualTo(ExitCode.SUCCESS);
		assertThat(this.out.toString(StandardCharsets.UTF_8)).contains("\"accepted\" : false");
		assertThat(runWithPlatform("host", "restore", "nobody")).isEqualTo(ExitCode.BAD_INPUT);
	}

	@Test
	void publishesChangesFromAFile(@TempDir Path folder) throws Exception {
		Path file = folder.resolve("changes.json");
		Files.writeString(file, "[{\"change\":\"data-centre-out\",\"name\":\"helwan\",\"reason\":\"power\"}]");
		assertThat(runWithPlatform("config", "validate", file.toString())).isEqualTo(ExitCode.SUCCESS);
		assertThat(runWithPlatform("config", "publish", file.toString())).isEqualTo(ExitCode.SUCCESS);
		Files.writeString(file, "{");
		assertThat(runWithPlatform("config", "publish", file.toString())).isEqualTo(ExitCode.BAD_INPUT);
		assertThat(runWithPlatform("config", "publish", folder.resolve("none").toString()))
			.isEqualTo(ExitCode.BAD_INPUT);
	}

	@Test
	void reportsThatTheLogIsUnreachable() {
		assertThat(run("config", "show", "--platform", "http://127.0.0.1:1")).isEqualTo(ExitCode.UNAVAILABLE);
		assertThat(run("status", "--platform", "http://127.0.0.1:1")).isEqualTo(ExitCode.UNAVAILABLE);
	}

	@Test
	void reportsThatAnAddressIsInUse() {
		ExitCode code = runWithPlatform("entry", "--name", "e", "--data-centre", "d", "--port",
				Integer.toString(platform.port()));
		assertThat(code).isEqualTo(ExitCode.BAD_INPUT);
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains("cannot bind");
	}

}
