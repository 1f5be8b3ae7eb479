package org.mustardlane.proof.measure;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Writes the report as a text table, as CSV and as a self-contained HTML page with plots.
 */
final class ReportWriter {

	private static final int BAR_WIDTH = 300;

	private static final int BAR_HEIGHT = 12;

	private final List<ReportRow> rows;

	private final String title;

	ReportWriter(List<ReportRow> rows, String title) {
		this.rows = List.copyOf(rows);
		this.title = title;
	}

	String table() {
		String header = formatRow("measure", "figure", "naive", "chosen", "all-seeing", "target", "");
		return header + this.rows.stream()
			.map((row) -> formatRow(row.experiment(), row.figure(), formatNumber(row.naive()),
					formatNumber(row.chosen()), formatNumber(row.singleRouter()), row.goalDescription(), row.verdict()))
			.collect(Collectors.joining());
	}

	void write(Path directory) throws IOException {
		Files.createDirectories(directory);
		Files.writeString(directory.resolve("measure.csv"), csv(), StandardCharsets.UTF_8);
		Files.writeString(directory.resolve("measure.html"), html(), StandardCharsets.UTF_8);
	}

	private String csv() {
		return "measure,figure,naive,chosen,all_seeing,target,verdict\n" + this.rows.stream()
			.map((row) -> "\"%s\",\"%s\",%s,%s,%s,\"%s\",%s%n".formatted(row.experiment(), row.figure(), row.naive(),
					row.chosen(), row.singleRouter(), row.goalDescription(), row.verdict()))
			.collect(Collectors.joining());
	}

	private String html() {
		String body = this.rows.stream().map(this::htmlRow).collect(Collectors.joining());
		return """
				<!doctype html><html><head><meta charset="utf-8"><title>%s</title><style>
				body{font-family:sans-serif}td,th{padding:4px 10px;text-align:left;vertical-align:top}
				.MISSED{color:#b00020;font-weight:bold}.met{color:#1b6e1b}</style></head><body><h1>%s</h1>
				<table><tr><th>measure</th><th>figure</th><th>naive (grey), chosen (blue), all-seeing (green)</th>
				<th>target</th><th></th></tr>%s</table></body></html>
				""".formatted(this.title, this.title, body);
	}

	private String htmlRow(ReportRow row) {
		return "<tr><td>%s</td><td>%s</td><td>%s</td><td>%s</td><td class=\"%s\">%s</td></tr>%n"
			.formatted(row.experiment(), row.figure(), bars(row), row.goalDescription(), row.verdict(), row.verdict());
	}

	private static String bars(ReportRow row) {
		double[] values = { row.naive(), row.chosen(), row.singleRouter() };
		String[] colours = { "#999", "#2a5db0", "#3a9a4a" };
		double maximum = 0;
		for (double value : values) {
			maximum = Double.isFinite(value) ? Math.max(maximum, value) : maximum;
		}
		StringBuilder svg = new StringBuilder(
				"<svg width=\"%d\" height=\"%d\">".formatted(BAR_WIDTH + 90, (BAR_HEIGHT + 4) * values.length));
		for (int index = 0; index < values.length; index++) {
			if (!Double.isNaN(values[index])) {
				double ratio = (maximum > 0) ? Math.max(0, Math.min(values[index], maximum)) / maximum : 0;
				svg.append(bar(index, ratio * BAR_WIDTH, colours[index], formatNumber(values[index])));
			}
		}
		return svg.append("</svg>").toString();
	}

	private static String bar(int index, double width, String colour, String label) {
		int top = index * (BAR_HEIGHT + 4);
		return ("<rect x=\"0\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\"/>"
				+ "<text x=\"%.1f\" y=\"%d\" font-size=\"11\">%s</text>")
			.formatted(top, width, BAR_HEIGHT, colour, width + 4, top + BAR_HEIGHT - 2, label);
	}

	private static String formatRow(String... cells) {
		return "%-26s %-66s %12s %12s %12s  %-16s %s%n".formatted((Object[]) cells);
	}

	private static String formatNumber(double value) {
		return Double.isNaN(value) ? "-" : "%.3f".formatted(value);
	}

}
