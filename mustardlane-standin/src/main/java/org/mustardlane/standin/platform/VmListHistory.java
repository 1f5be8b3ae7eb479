package org.mustardlane.standin.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * History of the lists of VMs, from which a stale list can be served.
 */
final class VmListHistory {

	private static final int MAX_VERSIONS = 64;

	private final Deque<Version> versions = new ArrayDeque<>();

	VmListHistory() {
		this.versions.add(new Version(0, 0, JsonNodeFactory.instance.arrayNode()));
	}

	void add(JsonNode vms, long nowMillis) {
		this.versions.addLast(new Version(this.versions.getLast().number() + 1, nowMillis, vms));
		if (this.versions.size() > MAX_VERSIONS) {
			this.versions.removeFirst();
		}
	}

	Version versionAt(long atMillis) {
		Iterator<Version> newestFirst = this.versions.descendingIterator();
		while (newestFirst.hasNext()) {
			Version version = newestFirst.next();
			if (version.setAtMillis() <= atMillis) {
				return version;
			}
		}
		return this.versions.getFirst();
	}

	/**
	 * One version of the list of VMs.
	 *
	 * @param number version number, 0 for the initial empty list
	 * @param setAtMillis time at which the list was set, in milliseconds since the epoch
	 * @param vms the entries as a JSON array
	 */
	record Version(long number, long setAtMillis, JsonNode vms) {

	}

}
