package org.mustardlane.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Runs the commands of the command-line tool.
 */
public final class CommandLineTool {

	private final PrintStream out;

	private final PrintStream err;

	private final Map<String, String> variables;

	/**
	 * Creates the tool.
	 * @param out receives the output of commands
	 * @param err receives error messages
	 * @param variables the environment variables
	 */
	public CommandLineTool(PrintStream out, PrintStream err, Map<String, String> variables) {
		this.out = out;
		this.err = err;
		this.variables = Map.copyOf(variables);
	}

	/**
	 * Runs a command line.
	 * @param commandLine the command-line arguments
	 * @return the exit code
	 */
	public ExitCode run(List<String> commandLine) {
		CliArguments arguments = new CliArguments(commandLine, this.variables);
		if (arguments.isSet(CliOption.HELP)) {
			this.out.print(HelpText.format());
			return ExitCode.OK;
		}
		if (arguments.isSet(CliOption.VERSION)) {
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
		Optional<CommandName> name = CommandName.find(arguments.positionalArguments());
		arguments.require(name.isPresent(), arguments.positionalArguments().isEmpty() ? "no command is given"
				: "'%s' is not a command".formatted(String.join(" ", arguments.positionalArguments())));
		name.ifPresent((commandName) -> arguments.setOperands(commandName.operands(arguments.positionalArguments())));
		Optional<Command.PreparedCommand> command = name
			.map((commandName) -> commandName.create().prepare(arguments, settings));
		arguments.throwIfInvalid();
		Report report = command.orElseThrow().run();
		this.out.print(settings.json() ? JsonText.format(report) : report.text());
		this.out.flush();
		return report.exitCode();
	}

	private static String version() {
		return Optional.ofNullable(CommandLineTool.class.getPackage().getImplementationVersion()).orElse("development");
	}

}
