package io.dotterelcrank.daemon.command;

import java.io.PrintStream;
import java.util.List;

/**
 * Prints tables with aligned columns. Stateless.
 */
public final class TablePrinter {

	private static final String COLUMN_SEPARATOR = "  ";

	private TablePrinter() {
	}

	/**
	 * Prints the rows, one a line.
	 * @param out destination
	 * @param rows the rows, of any length; the first is the header
	 */
	public static void print(PrintStream out, List<List<String>> rows) {
		for (List<String> row : rows) {
			StringBuilder line = new StringBuilder();
			for (int column = 0; column < row.size(); column++) {
				String cell = row.get(column);
				line.append(cell).append(" ".repeat(width(rows, column) - cell.length())).append(COLUMN_SEPARATOR);
			}
			out.println(line.toString().stripTrailing());
		}
	}

	private static int width(List<List<String>> rows, int column) {
		return rows.stream()
			.filter((row) -> row.size() > column)
			.mapToInt((row) -> row.get(column).length())
			.max()
			.orElse(0);
	}

}
