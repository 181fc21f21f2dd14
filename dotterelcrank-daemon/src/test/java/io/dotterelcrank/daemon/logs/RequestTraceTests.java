package io.dotterelcrank.daemon.logs;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalTime;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests of {@link RequestTrace} and {@link ProcessView}.
 */
class RequestTraceTests {

	private static final String ENTRY_LOG = """
			time=10:00:00.000 level=INFO DC101 entry e1 started in data centre giza
			time=10:00:01.000 level=INFO DC801 plan in force version=7
			time=10:00:02.000 level=INFO DC806 target=i-1 service=bench address=/10.0.0.1:80 dataCentre=giza leaving=false
			time=10:00:02.500 level=INFO DC806 target=i-9 service=bench address=/10.0.0.9:80 dataCentre=giza leaving=false
			time=10:00:03.000 level=INFO DC821 request=a1 target=i-1 service=bench send=1 cause=placed
			java.lang.IllegalStateException: not an event
			time=10:00:04.000 level=INFO DC806 target=i-1 service=bench address=/10.0.0.1:80 dataCentre=giza leaving=true
			time=10:00:04.100 level=WARN DC802 store unreachable table=op reason="timeout"
			time=10:00:05.000 level=INFO DC824 request=a1 kind=STREAMING outcome=cut message="closed"
			time=10:00:06.000 level=INFO DC807 target=i-1 no longer listed leaving=true
			""";

	@TempDir
	Path folder;

	private MergedLog log;

	@BeforeEach
	void writeLogs() throws IOException {
		Path entryFile = this.folder.resolve("e1.log");
		Files.writeString(entryFile, ENTRY_LOG);
		Path collectedFile = this.folder.resolve("all.txt");
		Files.writeString(collectedFile, """
				  3.0100 side-1 time=10:00:03.010 level=INFO DC836 request=a1 target=i-1 admission refused refusals=1
				  3.0200 side-1 time=25:00:03.010 level=INFO DC836 request=a1 target=i-1 admission refused refusals=1
				""");
		this.log = MergedLog.read(List.of(entryFile, collectedFile));
	}

	@Test
	void traceContainsEventsOfTheRequestItsTargetsAndProcesses() {
		assertThat(RequestTrace.of("a1", this.log).lines()).extracting(LogLine::eventNumber)
			.containsExactly(101, 801, 806, 821, 836, 806, 802, 824);
		assertThat(RequestTrace.of("a1", this.log).lines()).extracting(LogLine::process).contains("e1", "side-1");
	}

	@Test
	void unknownRequestHasAnEmptyTrace() {
		assertThat(RequestTrace.of("a", this.log).lines()).isEmpty();
	}

	@Test
	void linesWithoutAnEventAreSkippedAndCounted() {
		assertThat(this.log.skippedLines()).isEqualTo(2);
	}

	@Test
	void errorNamesTheMissingFile() {
		assertThatExceptionOfType(IOException.class)
			.isThrownBy(() -> MergedLog.read(List.of(this.folder.resolve("none.log"))))
			.withMessageContaining("none.log");
	}

	@Test
	void viewReflectsEventsUpToTheGivenTime() {
		ProcessView early = ProcessView.at(this.log, LocalTime.of(10, 0, 3)).get("e1");
		assertThat(early.planVersion()).isEqualTo("7");
		assertThat(early.targets()).containsEntry("i-1", "bench in giza");
		assertThat(early.unreachableTables()).isEmpty();
		ProcessView late = ProcessView.at(this.log, LocalTime.MAX).get("e1");
		assertThat(late.targets()).containsOnlyKeys("i-9");
		assertThat(late.unreachableTables()).containsExactly("op");
	}

}
