package org.mustardlane.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Writes rows of text in columns.
 *
 * <p>
 * Used by one thread.
 */
final class TextTable {

	private static final String GAP = "  ";

	private final List<List<String>> rows = new ArrayList<>();

	TextTable(String... titles) {
		this.rows.add(List.of(titles));
	}

	void row(Object... cells) {
		this.rows.add(Arrays.stream(cells).map(TextTable::clean).toList());
	}

	private static String clean(Object cell) {
		return cell.toString().replaceAll("\\p{Cntrl}", " ");
	}

	@Override
	public String toString() {
		StringBuilder text = new StringBuilder();
		for (List<String> row : this.rows) {
			StringBuilder line = new StringBuilder();
			for (int column = 0; column < row.size(); column++) {
				line.append(row.get(column)).append(" ".repeat(width(column) - row.get(column).length())).append(GAP);
			}
			text.append(line.toString().stripTrailing()).append('\n');
		}
		return text.toString();
	}

	private int width(int column) {
		return this.rows.stream().mapToInt((row) -> row.get(column).length()).max().orElse(0);
	}

}
