package org.mustardlane.router.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown if settings are missing or invalid.
 */
public class SettingsException extends Exception {

	private final transient List<SettingFinding> findings;

	/**
	 * Creates the exception.
	 * @param findings all problems found
	 */
	public SettingsException(List<SettingFinding> findings) {
		super(findings.stream().map(SettingFinding::toString).collect(Collectors.joining(System.lineSeparator())));
		this.findings = List.copyOf(findings);
	}

	/**
	 * Returns all problems found.
	 * @return one finding for each problem
	 */
	public List<SettingFinding> findings() {
		return this.findings;
	}

}
