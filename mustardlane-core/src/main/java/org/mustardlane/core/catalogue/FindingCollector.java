package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.mustardlane.core.model.catalogue.Finding;

/**
 * Collects what is wrong in one document.
 *
 * <p>
 * Used by one thread.
 */
final class FindingCollector {

	/**
	 * Most findings that are kept; a document with more of them is not a catalogue
	 * change.
	 */
	static final int LIMIT = 1_000;

	private final List<Finding> findings = new ArrayList<>();

	void add(String path, YamlNode.Place place, String message) {
		if (this.findings.size() < LIMIT) {
			this.findings.add(new Finding(path, place.line(), place.column(), message));
		}
	}

	boolean isEmpty() {
		return this.findings.isEmpty();
	}

	List<Finding> inOrder() {
		return this.findings.stream()
			.sorted(Comparator.comparingInt(Finding::line).thenComparingInt(Finding::column))
			.toList();
	}

}
