package org.mustardlane.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.MissingArgumentException;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.UnrecognizedOptionException;

/**
 * The arguments from the command line and the environment, with the findings about
 * invalid ones.
 *
 * <p>
 * Not thread-safe.
 */
final class CliArguments {

	private final List<String> findings = new ArrayList<>();

	private final CommandLine commandLine;

	private List<String> operands = List.of();

	private final Map<String, String> variables;

	CliArguments(List<String> arguments, Map<String, String> variables) {
		this.variables = Map.copyOf(variables);
		this.commandLine = parse(new ArrayList<>(arguments));
	}

	private CommandLine parse(List<String> arguments) {
		while (true) {
			try {
				return new DefaultParser(false).parse(options(), arguments.toArray(String[]::new));
			}
			catch (UnrecognizedOptionException ex) {
				this.findings.add(ex.getOption() + ": unknown flag");
				arguments.remove(ex.getOption());
			}
			catch (MissingArgumentException ex) {
				String flag = "--" + ex.getOption().getLongOpt();
				this.findings.add(flag + ": needs a value");
				arguments.remove(arguments.lastIndexOf(flag));
			}
			catch (ParseException ex) {
				this.findings.add(ex.getMessage());
				arguments.clear();
			}
		}
	}

	/**
	 * Returns the definitions of all flags.
	 * @return the definitions for the parser
	 */
	static Options options() {
		Options options = new Options();
		Arrays.stream(CliOption.values())
			.forEach((option) -> options.addOption(Option.builder()
				.longOpt(option.flag())
				.hasArg(option.takesValue())
				.desc(option.description())
				.get()));
		return options;
	}

	boolean isSet(CliOption option) {
		return this.commandLine.hasOption(option.flag());
	}

	/**
	 * Returns the arguments that are not flags: the command and its operands.
	 * @return the arguments
	 */
	List<String> positionalArguments() {
		return this.commandLine.getArgList();
	}

	void setOperands(List<String> operands) {
		this.operands = List.copyOf(operands);
	}

	/**
	 * Returns the arguments after the command that are not flags.
	 * @return the arguments
	 */
	List<String> operands() {
		return this.operands;
	}

	void requireOperands(int min, int max, String usage) {
		require(this.operands.size() >= min, usage + ": is missing");
		this.operands.stream().skip(max).forEach((operand) -> this.findings.add("'" + operand + "': unexpected"));
	}

	void requireRouter(CliSettings settings) {
		require(!settings.routers().isEmpty() || !values(CliOption.ROUTER).isEmpty(),
				"--router: is missing; give the operator address of at least one router");
	}

	Optional<String> value(CliOption option) {
		String value = this.commandLine.getOptionValue(option.flag());
		return Optional.ofNullable((value != null) ? value : this.variables.get(option.variable()));
	}

	/**
	 * Returns all values of a flag that may be repeated.
	 * @param option the flag
	 * @return the distinct values, with comma-separated values split
	 */
	List<String> values(CliOption option) {
		String[] flagValues = this.commandLine.getOptionValues(option.flag());
		Stream<String> values = (flagValues != null) ? Arrays.stream(flagValues)
				: Stream.ofNullable(this.variables.get(option.variable()));
		return values.flatMap((value) -> Arrays.stream(value.split(",")))
			.map(String::strip)
			.filter((value) -> !value.isEmpty())
			.distinct()
			.toList();
	}

	long longValue(CliOption option, long min, long defaultValue) {
		Optional<String> text = value(option);
		if (text.isEmpty()) {
			return defaultValue;
		}
		try {
			long value = Long.parseLong(text.get());
			require(value >= min, "--%s: must be at least %d".formatted(option.flag(), min));
			return value;
		}
		catch (NumberFormatException ex) {
			this.findings.add("--%s: '%s' is not a whole number".formatted(option.flag(), text.get()));
			return defaultValue;
		}
	}

	void require(boolean condition, String finding) {
		if (!condition) {
			this.findings.add(finding);
		}
	}

	/**
	 * Throws an exception if there are findings.
	 * @throws UsageException if an argument is invalid or missing
	 */
	void throwIfInvalid() throws UsageException {
		if (!this.findings.isEmpty()) {
			throw new UsageException(this.findings);
		}
	}

}
