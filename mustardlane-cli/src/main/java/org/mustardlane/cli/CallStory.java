package org.mustardlane.cli;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Picks the lines that explain one call.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
final class CallStory {

	/**
	 * What a VM lost this long before a call may still have decided it.
	 */
	private static final Duration BEFORE = Duration.ofSeconds(10);

	private static final Set<String> SURROUNDINGS = Set.of("started", "draining", "stopped", "dependency-lost",
			"dependency-regained", "routes-changed", "pause-noticed", "peer-changed");

	private CallStory() {
	}

	/**
	 * Picks the lines of a call, those of its VMs shortly before, and those of its
	 * targets.
	 * @param requestId the call
	 * @param lines all lines
	 * @return the lines in the order of time, empty where none tells of the call
	 */
	static List<LogLine> of(String requestId, List<LogLine> lines) {
		List<LogLine> own = lines.stream().filter((line) -> requestId.equals(line.field("requestId"))).toList();
		if (own.isEmpty()) {
			return List.of();
		}
		Set<String> vms = own.stream().map(LogLine::vm).collect(Collectors.toSet());
		Set<String> targets = own.stream().map((line) -> line.field("target")).collect(Collectors.toSet());
		Instant first = own.stream().map(LogLine::instant).min(Comparator.naturalOrder()).orElseThrow().minus(BEFORE);
		Instant last = own.stream().map(LogLine::instant).max(Comparator.naturalOrder()).orElseThrow();
		return lines.stream()
			.filter((line) -> own.contains(line) || (vms.contains(line.vm()) && isWithin(line, first, last)
					&& (isSurrounding(line) || tellsOf(line, targets))))
			.sorted(Comparator.comparing(LogLine::instant))
			.toList();
	}

	private static boolean isSurrounding(LogLine line) {
		// A router that has just started finds all others; that explains no call.
		return SURROUNDINGS.contains(line.event()) && !"found".equals(line.field("state"));
	}

	private static boolean isWithin(LogLine line, Instant first, Instant last) {
		return !line.instant().isBefore(first) && !line.instant().isAfter(last);
	}

	private static boolean tellsOf(LogLine line, Set<String> targets) {
		return "target-changed".equals(line.event()) && targets.contains(line.field("target"));
	}

}
