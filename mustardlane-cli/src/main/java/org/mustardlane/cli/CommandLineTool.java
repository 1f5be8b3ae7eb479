package org.mustardlane.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Runs one command line.
 */
public final class CommandLineTool {

	private final PrintStream out;

	private final PrintStream err;

	private final Map<String, String> variables;

	/**
	 * Creates the program.
	 * @param out takes results
	 * @param err takes errors
	 * @param variables the environment
	 */
	public CommandLineTool(PrintStream out, PrintStream err, Map<String, String> variables) {
		this.out = out;
		this.err = err;
		this.variables = Map.copyOf(variables);
	}

	/**
	 * Runs a command line.
	 * @param line the command line
	 * @return how the program ends
	 */
	public ExitCode run(List<String> line) {
		CliArguments arguments = new CliArguments(line, this.variables);
		if (arguments.has(CliOption.HELP)) {
			this.out.print(HelpText.write());
			return ExitCode.OK;
		}
		if (arguments.has(CliOption.VERSION)) {
			this.out.println(version());
			return ExitCode.OK;
		}
		try {
			return execute(arguments);
		}
		catch (UsageException ex) {
			ex.findings().forEach((finding) -> this.err.println("mustardlane: " + finding));
			this.err.println("'mustardlane --help' lists commands and flags");
			return ExitCode.USAGE;
		}
		catch (CommandException ex) {
			this.err.println("mustardlane: " + ex.getMessage());
			return ex.exitCode();
		}
		catch (RuntimeException ex) {
			this.err.println("mustardlane: internal error: " + ex);
			return ExitCode.INTERNAL_ERROR;
		}
	}

	private ExitCode execute(CliArguments arguments) throws UsageException, CommandException {
		CliSettings settings = CliSettings.read(arguments);
		Optional<CommandName> name = CommandName.find(arguments.words());
		arguments.require(name.isPresent(), arguments.words().isEmpty() ? "no command is given"
				: "'%s' is not a command".formatted(String.join(" ", arguments.words())));
		name.ifPresent((found) -> arguments.setOperands(found.operands(arguments.words())));
		Optional<Command.Step> step = name.map((found) -> found.create().prepare(arguments, settings));
		arguments.check();
		Report report = step.orElseThrow().run();
		this.out.print(settings.json() ? JsonText.write(report) : report.text());
		this.out.flush();
		return report.exitCode();
	}

	private static String version() {
		return Optional.ofNullable(CommandLineTool.class.getPackage().getImplementationVersion()).orElse("development");
	}

}
