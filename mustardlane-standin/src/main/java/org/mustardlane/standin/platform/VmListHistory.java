package org.mustardlane.standin.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * The lists of VMs that were set, of which readers see one that may be late.
 */
final class VmListHistory {

	private static final int KEPT_LISTS = 64;

	private final Deque<Version> versions = new ArrayDeque<>();

	VmListHistory() {
		this.versions.add(new Version(0, 0, JsonNodeFactory.instance.arrayNode()));
	}

	void set(JsonNode vms, long nowMillis) {
		this.versions.addLast(new Version(this.versions.getLast().number() + 1, nowMillis, vms));
		if (this.versions.size() > KEPT_LISTS) {
			this.versions.removeFirst();
		}
	}

	Version visible(long atMillis) {
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
	 * One list.
	 *
	 * @param number counts the lists
	 * @param setAtMillis when it was set
	 * @param vms its rows
	 */
	record Version(long number, long setAtMillis, JsonNode vms) {

	}

}
