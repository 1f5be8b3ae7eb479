package org.mustardlane.router.settings;

/**
 * Something wrong with a setting.
 *
 * @param place the flag or the environment variable
 * @param message what is wrong, in words
 */
public record SettingFinding(String place, String message) {

	@Override
	public String toString() {
		return this.place + ": " + this.message;
	}

}
