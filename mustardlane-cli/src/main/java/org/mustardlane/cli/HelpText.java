package org.mustardlane.cli;

/**
 * Formats the help text of the program.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
final class HelpText {

	private HelpText() {
	}

	static String format() {
		StringBuilder text = new StringBuilder("usage: mustardlane COMMAND [FLAGS]\n\ncommands:\n");
		for (CommandName command : CommandName.values()) {
			text.append("  %-34s %s%n".formatted(command.usage(), command.description()));
		}
		text.append("\nflags; those with a value can also be set by an environment variable:\n");
		for (CliOption option : CliOption.values()) {
			text.append("  --%-32s %s%n".formatted(option.flag() + (option.takesValue() ? " VALUE" : ""),
					option.description()));
		}
		text.append("\nexit codes:\n");
		for (ExitCode code : ExitCode.values()) {
			text.append("  %-34d %s%n".formatted(code.number(), code.description()));
		}
		return text.toString();
	}

}
