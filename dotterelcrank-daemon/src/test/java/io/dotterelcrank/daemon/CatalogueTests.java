package io.dotterelcrank.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.version.Setting;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that the tables of result codes, log events and settings in the documentation
 * match the code.
 */
class CatalogueTests {

	private static List<String> rows(String page, String prefix) throws IOException {
		Path docs = Path.of(System.getProperty("user.dir")).resolveSibling("docs");
		return Files.readAllLines(docs.resolve(page)).stream().filter((line) -> line.startsWith(prefix)).toList();
	}

	@Test
	void resultCodesMatchTheDocumentation() throws IOException {
		List<String> expected = Arrays.stream(ResultCode.values())
			.map((code) -> "| " + code.number() + " | " + code.name() + " | " + code.httpStatus() + " | "
					+ code.advice() + " |")
			.toList();
		List<String> found = new ArrayList<>();
		for (String row : rows("RESULT-CODES.md", "| ")) {
			if (row.matches("\\| \\d.*")) {
				String[] cells = row.split(" \\| ");
				found.add(cells[0] + " | " + cells[1] + " | " + cells[2] + " | " + cells[cells.length - 1]);
			}
		}
		assertThat(found).containsExactlyElementsOf(expected);
	}

	@Test
	void logEventsMatchTheDocumentation() throws IOException {
		List<String> expected = Arrays.stream(LogEvent.values())
			.map((event) -> "| DC" + event.number() + " | " + event.level() + " | `" + event.text() + "` |")
			.toList();
		assertThat(rows("LOG-EVENTS.md", "| DC").stream().map((row) -> row.substring(0, row.indexOf("` |") + 3)))
			.containsExactlyElementsOf(expected);
	}

	@Test
	void settingsMatchTheDocumentation() throws IOException {
		List<String> expected = Arrays.stream(Setting.values())
			.map((setting) -> "| `" + setting.label() + "` | " + setting.unit() + " | " + setting.defaultValue() + " | "
					+ setting.minValue() + " to " + setting.maxValue() + " | " + setting.description() + " |")
			.toList();
		assertThat(rows("operations/SETTINGS.md", "| `").stream().filter((row) -> !row.startsWith("| `--")))
			.containsExactlyElementsOf(expected);
	}

	@Test
	void numbersAreUnique() {
		assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number)).doesNotHaveDuplicates();
		assertThat(Arrays.stream(LogEvent.values()).map(LogEvent::number)).doesNotHaveDuplicates();
	}

}
