package org.mustardlane.cli;

import java.util.List;

import org.mustardlane.core.model.catalogue.Finding;

/**
 * Writes findings as lines that editors understand.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
final class FindingLines {

	private FindingLines() {
	}

	/**
	 * Writes findings.
	 * @param file the file that they are about
	 * @param findings the findings
	 * @return one line a finding: file, line, column, path and what is wrong
	 */
	static String write(String file, List<Finding> findings) {
		StringBuilder text = new StringBuilder();
		findings.forEach((finding) -> text.append("%s:%d:%d: %s%s%n".formatted(file, finding.line(), finding.column(),
				finding.path().isEmpty() ? "" : finding.path() + ": ", finding.message())));
		return text.toString();
	}

}
