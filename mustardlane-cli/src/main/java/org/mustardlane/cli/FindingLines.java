package org.mustardlane.cli;

import java.util.List;

import org.mustardlane.core.model.catalogue.Finding;

/**
 * Formats findings like compiler messages, so that editors can jump to them.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
final class FindingLines {

	private FindingLines() {
	}

	/**
	 * Formats findings.
	 * @param file the file that contains the errors
	 * @param findings the findings
	 * @return one line for each finding: file, line, column, path and message
	 */
	static String format(String file, List<Finding> findings) {
		StringBuilder text = new StringBuilder();
		findings.forEach((finding) -> text.append("%s:%d:%d: %s%s%n".formatted(file, finding.line(), finding.column(),
				finding.path().isEmpty() ? "" : finding.path() + ": ", finding.message())));
		return text.toString();
	}

}
