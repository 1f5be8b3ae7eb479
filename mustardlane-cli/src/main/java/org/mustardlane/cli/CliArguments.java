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
 * The command line and the environment, with all that is wrong in them collected.
 *
 * <p>
 * Used by one thread.
 */
final class CliArguments {

	private final List<String> findings = new ArrayList<>();

	private final CommandLine line;

	private List<String> operands = List.of();

	private final Map<String, String> variables;

	CliArguments(List<String> arguments, Map<String, String> variables) {
		this.variables = Map.copyOf(variables);
		this.line = parse(new ArrayList<>(arguments));
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
	 * Returns the flags of the program.
	 * @return the flags
	 */
	static Options options() {
		Options options = new Options();
		Arrays.stream(CliOption.values())
			.forEach((option) -> options.addOption(Option.builder()
				.longOpt(option.flag())
				.hasArg(option.isValued())
				.desc(option.description())
				.get()));
		return options;
	}

	boolean has(CliOption option) {
		return this.line.hasOption(option.flag());
	}

	/**
	 * Returns the words that are not flags.
	 * @return the words
	 */
	List<String> words() {
		return this.line.getArgList();
	}

	void setOperands(List<String> operands) {
		this.operands = List.copyOf(operands);
	}

	/**
	 * Returns the words after the command.
	 * @return the words
	 */
	List<String> operands() {
		return this.operands;
	}

	void requireOperands(int least, int most, String usage) {
		require(this.operands.size() >= least, usage + ": is missing");
		this.operands.stream().skip(most).forEach((operand) -> this.findings.add("'" + operand + "': unexpected"));
	}

	void requireRouter(CliSettings settings) {
		require(!settings.routers().isEmpty() || !texts(CliOption.ROUTER).isEmpty(),
				"--router: is missing; name the operator address of at least one router");
	}

	Optional<String> text(CliOption option) {
		String value = this.line.getOptionValue(option.flag());
		return Optional.ofNullable((value != null) ? value : this.variables.get(option.variable()));
	}

	/**
	 * Returns all values of a flag that may stand several times.
	 * @param option the flag
	 * @return the values, split at commas
	 */
	List<String> texts(CliOption option) {
		String[] given = this.line.getOptionValues(option.flag());
		Stream<String> values = (given != null) ? Arrays.stream(given)
				: Stream.ofNullable(this.variables.get(option.variable()));
		return values.flatMap((value) -> Arrays.stream(value.split(",")))
			.map(String::strip)
			.filter((value) -> !value.isEmpty())
			.distinct()
			.toList();
	}

	long number(CliOption option, long least, long fallback) {
		Optional<String> text = text(option);
		if (text.isEmpty()) {
			return fallback;
		}
		try {
			long value = Long.parseLong(text.get());
			require(value >= least, "--%s: must be at least %d".formatted(option.flag(), least));
			return value;
		}
		catch (NumberFormatException ex) {
			this.findings.add("--%s: '%s' is not a whole number".formatted(option.flag(), text.get()));
			return fallback;
		}
	}

	void require(boolean holds, String finding) {
		if (!holds) {
			this.findings.add(finding);
		}
	}

	/**
	 * Ends the collection.
	 * @throws UsageException if anything was wrong
	 */
	void check() throws UsageException {
		if (!this.findings.isEmpty()) {
			throw new UsageException(this.findings);
		}
	}

}
