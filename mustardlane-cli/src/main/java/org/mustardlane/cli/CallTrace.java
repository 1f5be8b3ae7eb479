package org.mustardlane.cli;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Selects the gateway log lines that explain one call.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
final class CallTrace {

	/**
	 * A dependency that a VM lost within this time before a call may still have affected
	 * the call.
	 */
	private static final Duration CONTEXT_BEFORE_CALL = Duration.ofSeconds(10);

	private static final Set<String> CONTEXT_EVENTS = Set.of("started", "draining", "stopped", "dependency-lost",
			"dependency-regained", "routes-changed", "pause-noticed", "peer-changed");

	private CallTrace() {
	}

	/**
	 * Selects the lines of a call, the lines about the state of its VMs from shortly
	 * before the call until its end, and the lines about state changes of its targets in
	 * the same period.
	 * @param requestId request id of the call
	 * @param lines the lines of all logs
	 * @return the selected lines sorted by time, empty if no line belongs to the call
	 */
	static List<LogLine> select(String requestId, List<LogLine> lines) {
		List<LogLine> callLines = lines.stream().filter((line) -> requestId.equals(line.field("requestId"))).toList();
		if (callLines.isEmpty()) {
			return List.of();
		}
		Set<String> vms = callLines.stream().map(LogLine::vm).collect(Collectors.toSet());
		Set<String> targets = callLines.stream().map((line) -> line.field("target")).collect(Collectors.toSet());
		Instant start = callLines.stream()
			.map(LogLine::instant)
			.min(Comparator.naturalOrder())
			.orElseThrow()
			.minus(CONTEXT_BEFORE_CALL);
		Instant end = callLines.stream().map(LogLine::instant).max(Comparator.naturalOrder()).orElseThrow();
		return lines.stream()
			.filter((line) -> callLines.contains(line) || (vms.contains(line.vm()) && isWithin(line, start, end)
					&& (isContextEvent(line) || isTargetChange(line, targets))))
			.sorted(Comparator.comparing(LogLine::instant))
			.toList();
	}

	private static boolean isContextEvent(LogLine line) {
		// A router that has just started logs each peer it finds, which does not explain
		// a call.
		return CONTEXT_EVENTS.contains(line.event()) && !"found".equals(line.field("state"));
	}

	private static boolean isWithin(LogLine line, Instant start, Instant end) {
		return !line.instant().isBefore(start) && !line.instant().isAfter(end);
	}

	private static boolean isTargetChange(LogLine line, Set<String> targets) {
		return "target-changed".equals(line.event()) && targets.contains(line.field("target"));
	}

}
