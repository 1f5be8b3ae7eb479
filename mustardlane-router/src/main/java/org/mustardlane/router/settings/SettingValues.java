package org.mustardlane.router.settings;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;

/**
 * The raw values of the settings, the flag or environment variable that each value comes
 * from, and the problems found while the values are read.
 *
 * <p>
 * Not thread-safe.
 */
final class SettingValues {

	private final Map<RouterOption, String> values = new EnumMap<>(RouterOption.class);

	private final Map<RouterOption, String> sources = new EnumMap<>(RouterOption.class);

	private final List<SettingFinding> findings = new ArrayList<>();

	/**
	 * Collects the values. A flag takes precedence over an environment variable, which
	 * takes precedence over the default.
	 * @param flags the parsed command line
	 * @param variables the environment variables
	 */
	SettingValues(CommandLine flags, Map<String, String> variables) {
		for (RouterOption option : RouterOption.values()) {
			collect(option, Optional.ofNullable(flags.getOptionValue(option.flag())),
					Optional.ofNullable(variables.get(option.variable())));
		}
	}

	private void collect(RouterOption option, Optional<String> flag, Optional<String> variable) {
		this.sources.put(option, (flag.isEmpty() && variable.isPresent()) ? option.variable() : "--" + option.flag());
		Optional<String> value = flag.or(() -> variable).or(option::defaultValue).map(String::strip);
		value.ifPresent((text) -> this.values.put(option, text));
	}

	/**
	 * Records a problem with a setting.
	 * @param option the setting
	 * @param message description of the problem
	 */
	void reject(RouterOption option, String message) {
		this.findings.add(new SettingFinding(this.sources.get(option), message));
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

	int intValue(RouterOption option, int min, int max) {
		long number = longValue(option);
		if (number < min || number > max) {
			reject(option, "must be between " + min + " and " + max);
			return min;
		}
		return (int) number;
	}

	long longValue(RouterOption option) {
		try {
			return Long.parseLong(text(option));
		}
		catch (NumberFormatException ex) {
			reject(option, "'" + text(option) + "' is not a whole number");
			return Long.parseLong(option.defaultValue().orElse("0"));
		}
	}

	boolean booleanValue(RouterOption option) {
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
	 * Returns the values for the log, with secrets redacted.
	 * @return name and value of each setting
	 */
	String redactedText() {
		StringBuilder text = new StringBuilder();
		this.values.forEach((option, value) -> {
			String printedValue = (option.isSecret() && !value.isEmpty()) ? "(redacted)" : value;
			text.append(text.isEmpty() ? "" : " ").append(option.flag()).append('=').append(printedValue);
		});
		return text.toString();
	}

}
