package org.mustardlane.router.settings;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;

/**
 * The raw values of the settings, with the place that each came from, and the findings
 * made while they are read.
 *
 * <p>
 * Not thread-safe.
 */
final class SettingValues {

	private final Map<RouterOption, String> values = new EnumMap<>(RouterOption.class);

	private final Map<RouterOption, String> places = new EnumMap<>(RouterOption.class);

	private final List<SettingFinding> findings = new ArrayList<>();

	/**
	 * Collects the values: a flag wins over a variable, a variable over the default.
	 * @param flags the command line
	 * @param variables the environment
	 */
	SettingValues(CommandLine flags, Map<String, String> variables) {
		for (RouterOption option : RouterOption.values()) {
			collect(option, Optional.ofNullable(flags.getOptionValue(option.flag())),
					Optional.ofNullable(variables.get(option.variable())));
		}
	}

	private void collect(RouterOption option, Optional<String> flag, Optional<String> variable) {
		this.places.put(option, (flag.isEmpty() && variable.isPresent()) ? option.variable() : "--" + option.flag());
		Optional<String> value = flag.or(() -> variable).or(option::fallback).map(String::strip);
		value.ifPresent((text) -> this.values.put(option, text));
	}

	/**
	 * Notes that a setting is wrong.
	 * @param option the setting
	 * @param message what is wrong
	 */
	void reject(RouterOption option, String message) {
		this.findings.add(new SettingFinding(this.places.get(option), message));
	}

	String text(RouterOption option) {
		return this.values.getOrDefault(option, "");
	}

	String requiredText(RouterOption option) {
		String value = text(option);
		if (value.isEmpty()) {
			reject(option, "is required (flag --" + option.flag() + " or variable " + option.variable() + ")");
			return "missing";
		}
		return value;
	}

	int number(RouterOption option, int least, int most) {
		long number = longNumber(option);
		if (number < least || number > most) {
			reject(option, "must be between " + least + " and " + most);
			return least;
		}
		return (int) number;
	}

	long longNumber(RouterOption option) {
		try {
			return Long.parseLong(text(option));
		}
		catch (NumberFormatException ex) {
			reject(option, "'" + text(option) + "' is not a whole number");
			return Long.parseLong(option.fallback().orElse("0"));
		}
	}

	boolean flag(RouterOption option) {
		String value = text(option);
		if (!value.equals("true") && !value.equals("false")) {
			reject(option, "must be true or false");
		}
		return value.equals("true");
	}

	List<SettingFinding> findings() {
		return this.findings;
	}

	/**
	 * Writes the values for the log, without secrets.
	 * @return name and value of each setting
	 */
	String redacted() {
		StringBuilder text = new StringBuilder();
		this.values.forEach((option, value) -> {
			String shown = (option.isSecret() && !value.isEmpty()) ? "(redacted)" : value;
			text.append(text.isEmpty() ? "" : " ").append(option.flag()).append('=').append(shown);
		});
		return text.toString();
	}

}
