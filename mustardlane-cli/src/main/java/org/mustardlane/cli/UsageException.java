package org.mustardlane.cli;

import java.util.List;

/**
 * Thrown when the command line or a setting is invalid.
 */
final class UsageException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient List<String> findings;

	UsageException(List<String> findings) {
		super(String.join("; ", findings));
		this.findings = List.copyOf(findings);
	}

	/**
	 * Returns one message for each invalid or missing argument.
	 * @return the messages
	 */
	List<String> findings() {
		return this.findings;
	}

}
