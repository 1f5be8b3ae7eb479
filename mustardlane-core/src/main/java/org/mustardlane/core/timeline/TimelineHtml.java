package org.mustardlane.core.timeline;

import java.util.List;
import java.util.stream.Collectors;

import org.mustardlane.core.model.timeline.TimelineEvent;

/**
 * Renders a time line as one self-contained HTML file, with a column for each VM.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
public final class TimelineHtml {

	private static final String HEAD = """
			<!DOCTYPE html>
			<html lang="en">
			<head>
			<meta charset="utf-8">
			<title>Time line</title>
			<style>
			body { font: 13px sans-serif; margin: 1em; }
			table { border-collapse: collapse; }
			th { position: sticky; top: 0; background: #eee; padding: 4px 8px; text-align: left; }
			td { border-left: 1px solid #ccc; padding: 1px 8px; vertical-align: top; min-width: 12em; }
			td.time { font-family: monospace; min-width: 0; white-space: nowrap; }
			td.event { background: #e6f0fa; }
			tr:hover td { outline: 1px solid #88a; }
			b { font-weight: 600; }
			</style>
			</head>
			<body>
			<p><label>Show only lines with <input id="filter" size="40" autofocus></label></p>
			""";

	private static final String TAIL = """
			</table>
			<script>
			document.getElementById('filter').addEventListener('input', function (change) {
			  var wanted = change.target.value.toLowerCase();
			  document.querySelectorAll('tr.row').forEach(function (row) {
			    row.hidden = row.textContent.toLowerCase().indexOf(wanted) < 0;
			  });
			});
			</script>
			</body>
			</html>
			""";

	private TimelineHtml() {
	}

	/**
	 * Renders a time line.
	 * @param events the events, in causal order
	 * @return the HTML
	 */
	public static String render(List<TimelineEvent> events) {
		List<Lane> lanes = events.stream()
			.map((event) -> new Lane(event.domain(), event.vm()))
			.distinct()
			.sorted((left, right) -> left.label().compareTo(right.label()))
			.toList();
		StringBuilder html = new StringBuilder(HEAD);
		html.append("<table>\n<tr><th>Time (UTC)</th>");
		lanes.forEach((lane) -> html.append("<th>").append(escape(lane.label())).append("</th>"));
		html.append("</tr>\n");
		events.forEach((event) -> appendRow(html, lanes, event));
		return html.append(TAIL).toString();
	}

	private static void appendRow(StringBuilder html, List<Lane> lanes, TimelineEvent event) {
		html.append("<tr class=\"row\"><td class=\"time\">").append(TimelineText.formatTime(event)).append("</td>");
		html.append(lanes.stream().map((lane) -> formatCell(lane, event)).collect(Collectors.joining()));
		html.append("</tr>\n");
	}

	private static String formatCell(Lane lane, TimelineEvent event) {
		if (!lane.equals(new Lane(event.domain(), event.vm()))) {
			return "<td></td>";
		}
		return "<td class=\"event\"><b>%s</b> %s %s</td>".formatted(escape(event.kind()), escape(event.subject()),
				escape(event.detail()));
	}

	private static String escape(String text) {
		return text.replace("&", "&amp;")
			.replace("<", "&lt;")
			.replace(">", "&gt;")
			.replace("\"", "&quot;")
			.replace("'", "&#39;");
	}

	private record Lane(String domain, String vm) {

		private String label() {
			return this.domain + " / " + this.vm;
		}

	}

}
