package org.mustardlane.cli;

/**
 * Writes the help of the program.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
final class HelpText {

	private HelpText() {
	}

	static String write() {
		StringBuilder text = new StringBuilder("usage: mustardlane COMMAND [FLAGS]\n\ncommands:\n");
		for (CommandName name : CommandName.values()) {
			text.append("  %-34s %s%n".formatted(name.usage(), name.description()));
		}
		text.append("\nflags, each also read from its variable:\n");
		for (CliOption option : CliOption.values()) {
			text.append("  --%-32s %s%n".formatted(option.flag() + (option.isValued() ? " VALUE" : ""),
					option.description()));
		}
		text.append("\nexit codes:\n");
		for (ExitCode code : ExitCode.values()) {
			text.append("  %-34d %s%n".formatted(code.number(), code.meaning()));
		}
		return text.toString();
	}

}
