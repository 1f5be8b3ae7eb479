package org.mustardlane.proof.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.mustardlane.protocol.TimelineEntry;

/**
 * Merges the events of routers into one order.
 */
public final class Timelines {

	private static final int LOGICAL_BITS = 16;

	private Timelines() {
	}

	/**
	 * Reads and merges the events of routers; those that do not answer are left out.
	 * @param routers the routers
	 * @return the events, causes before effects
	 */
	public static List<TimelineEntry> merge(List<RouterHandle> routers) {
		List<TimelineEntry> merged = new ArrayList<>();
		for (RouterHandle router : routers) {
			try (OperatorClient client = new OperatorClient(router.operatorPort())) {
				merged.addAll(client.timeline());
			}
			catch (FleetException ex) {
				// A router that has ended keeps nothing.
			}
		}
		merged.sort(Comparator.comparing(TimelineEntry::getHybridTime, Long::compareUnsigned));
		return merged;
	}

	/**
	 * Writes an event as one line.
	 * @param event the event
	 * @return the line
	 */
	public static String line(TimelineEntry event) {
		return "%d.%d %s %s %s %s".formatted(event.getHybridTime() >>> LOGICAL_BITS,
				event.getHybridTime() & ((1 << LOGICAL_BITS) - 1), event.getVm(), event.getKind(), event.getSubject(),
				event.getDetail());
	}

}
