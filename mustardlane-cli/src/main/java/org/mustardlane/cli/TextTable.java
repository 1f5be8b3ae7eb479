package org.mustardlane.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Formats rows of text as a table with aligned columns.
 *
 * <p>
 * Not thread-safe.
 */
final class TextTable {

	private static final String COLUMN_SEPARATOR = "  ";

	private final List<List<String>> rows = new ArrayList<>();

	TextTable(String... headers) {
		this.rows.add(List.of(headers));
	}

	void addRow(Object... cells) {
		this.rows.add(Arrays.stream(cells).map(TextTable::replaceControlCharacters).toList());
	}

	private static String replaceControlCharacters(Object cell) {
		return cell.toString().replaceAll("\\p{Cntrl}", " ");
	}

	@Override
	public String toString() {
		StringBuilder text = new StringBuilder();
		for (List<String> row : this.rows) {
			StringBuilder line = new StringBuilder();
			for (int column = 0; column < row.size(); column++) {
				line.append(row.get(column))
					.append(" ".repeat(width(column) - row.get(column).length()))
					.append(COLUMN_SEPARATOR);
			}
			text.append(line.toString().stripTrailing()).append('\n');
		}
		return text.toString();
	}

	private int width(int column) {
		return this.rows.stream().mapToInt((row) -> row.get(column).length()).max().orElse(0);
	}

}
