package org.mustardlane.cli;

import java.util.List;

/**
 * Thrown when the command line is wrong, with all that is wrong in it.
 */
final class UsageException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient List<String> findings;

	UsageException(List<String> findings) {
		super(String.join("; ", findings));
		this.findings = List.copyOf(findings);
	}

	/**
	 * Returns all that is wrong.
	 * @return the findings
	 */
	List<String> findings() {
		return this.findings;
	}

}
