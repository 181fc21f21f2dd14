package io.dotterelcrank.daemon.command;

import java.io.PrintStream;
import java.util.List;

/**
 * Prints rows with aligned columns. Stateless.
 */
public final class Table {

	/** Space between columns. */
	private static final String GAP = "  ";

	private Table() {
	}

	/**
	 * Prints rows.
	 * @param out where to
	 * @param rows the rows, the first one the heading
	 */
	public static void print(PrintStream out, List<List<String>> rows) {
		for (List<String> row : rows) {
			StringBuilder line = new StringBuilder();
			for (int column = 0; column < row.size(); column++) {
				String cell = row.get(column);
				line.append(cell).append(" ".repeat(width(rows, column) - cell.length())).append(GAP);
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
