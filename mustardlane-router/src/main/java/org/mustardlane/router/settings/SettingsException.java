package org.mustardlane.router.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Says all that is wrong with the settings.
 */
public class SettingsException extends Exception {

	private final transient List<SettingFinding> findings;

	/**
	 * Creates the exception.
	 * @param findings all that is wrong
	 */
	public SettingsException(List<SettingFinding> findings) {
		super(findings.stream().map(SettingFinding::toString).collect(Collectors.joining(System.lineSeparator())));
		this.findings = List.copyOf(findings);
	}

	/**
	 * Returns all that is wrong.
	 * @return the findings
	 */
	public List<SettingFinding> findings() {
		return this.findings;
	}

}
