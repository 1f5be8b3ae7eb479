package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.mustardlane.core.model.catalogue.Finding;

/**
 * Collects the findings of one document.
 *
 * <p>
 * Not thread-safe.
 */
final class FindingCollector {

	/**
	 * Maximum number of findings that are kept. A document with more findings is unlikely
	 * to be a catalogue change, and further findings would not help.
	 */
	static final int MAX_FINDINGS = 1_000;

	private final List<Finding> findings = new ArrayList<>();

	void add(String path, YamlNode.Position position, String message) {
		if (this.findings.size() < MAX_FINDINGS) {
			this.findings.add(new Finding(path, position.line(), position.column(), message));
		}
	}

	boolean isEmpty() {
		return this.findings.isEmpty();
	}

	List<Finding> sortedByPosition() {
		return this.findings.stream()
			.sorted(Comparator.comparingInt(Finding::line).thenComparingInt(Finding::column))
			.toList();
	}

}
