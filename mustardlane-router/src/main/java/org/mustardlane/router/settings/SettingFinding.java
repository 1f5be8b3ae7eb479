package org.mustardlane.router.settings;

/**
 * A problem with a setting.
 *
 * @param place flag, environment variable or path in the settings file that holds the
 * value
 * @param message description of the problem
 */
public record SettingFinding(String place, String message) {

	@Override
	public String toString() {
		return this.place + ": " + this.message;
	}

}
