package org.mustardlane.router.settings;

/**
 * A problem with a setting.
 *
 * @param source flag, environment variable or path in the settings file that holds the
 * value
 * @param message description of the problem
 */
public record SettingFinding(String source, String message) {

	@Override
	public String toString() {
		return this.source + ": " + this.message;
	}

}
