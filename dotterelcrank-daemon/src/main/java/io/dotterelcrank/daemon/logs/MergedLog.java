package io.dotterelcrank.daemon.logs;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Events of several log files, merged by time. Immutable.
 *
 * @param lines events by time; events of the same time keep the order of the files
 * @param skippedLines number of lines without a numbered event
 */
public record MergedLog(List<LogLine> lines, int skippedLines) {

	/**
	 * Reads and merges log files. A file's name without its extension is the process name
	 * of lines that name none.
	 * @param paths the files
	 * @return the merged events
	 * @throws IOException if a file cannot be read
	 */
	public static MergedLog read(List<Path> paths) throws IOException {
		List<LogLine> lines = new ArrayList<>();
		int skippedLines = 0;
		for (Path path : paths) {
			String process = path.getFileName().toString().replaceFirst("\\.[^.]*$", "");
			try (BufferedReader reader = new BufferedReader(
					new InputStreamReader(Files.newInputStream(path), StandardCharsets.UTF_8))) {
				for (String line = reader.readLine(); line != null; line = reader.readLine()) {
					Optional<LogLine> event = LogLine.parse(process, line);
					event.ifPresent(lines::add);
					skippedLines += event.isPresent() ? 0 : 1;
				}
			}
			catch (NoSuchFileException ex) {
				throw new IOException("no log file " + path, ex);
			}
		}
		lines.sort(Comparator.comparing(LogLine::time));
		return new MergedLog(List.copyOf(lines), skippedLines);
	}

}
