package org.mustardlane.cli;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The commands of the tool.
 */
enum CommandName {

	/** Validates a change. */
	VALIDATE("catalogue validate", "FILE", "validate a change without a router", ValidateCommand::new),

	/** Publishes a change. */
	PUBLISH("catalogue publish", "FILE", "publish a change and wait until it is in force on all routers",
			PublishCommand::new),

	/** Shows the catalogue. */
	SHOW("catalogue show", "", "print the catalogue as YAML that can be edited and published", ShowCommand::new),

	/** Lists the newest changes. */
	HISTORY("catalogue history", "", "list the newest changes and their verdicts", HistoryCommand::new),

	/** Compares two revisions. */
	DIFF("catalogue diff", "FROM [TO]", "compare two revisions", DiffCommand::new),

	/** Shows the status of routers. */
	STATUS("status", "", "show the status of routers and their view of the fleet", StatusCommand::new),

	/** Drains and stops a router. */
	DRAIN("drain", "", "stop one router after its requests in flight have ended", DrainCommand::new),

	/** Prints the timeline. */
	TIMELINE("timeline", "", "print the events of the given routers in causal order", TimelineCommand::new),

	/** Explains a call. */
	EXPLAIN("explain", "REQUEST-ID FILE...", "show the lines in gateway logs that explain one call",
			ExplainCommand::new),

	/** Creates an organisation key. */
	KEY("key", "", "create a random organisation key and its digest", KeyCommand::new);

	private final List<String> words;

	private final String operands;

	private final String description;

	private final Supplier<Command> factory;

	CommandName(String words, String operands, String description, Supplier<Command> factory) {
		this.words = List.of(words.split(" "));
		this.operands = operands;
		this.description = description;
		this.factory = factory;
	}

	/**
	 * Finds the command at the start of the positional arguments.
	 * @param arguments the positional arguments
	 * @return the command, or empty if there is none with this name
	 */
	static Optional<CommandName> find(List<String> arguments) {
		return Arrays.stream(values())
			.filter((command) -> arguments.size() >= command.words.size()
					&& arguments.subList(0, command.words.size()).equals(command.words))
			.findFirst();
	}

	List<String> operands(List<String> arguments) {
		return List.copyOf(arguments.subList(this.words.size(), arguments.size()));
	}

	Command create() {
		return this.factory.get();
	}

	/**
	 * Returns the syntax of the command.
	 * @return the words of the command and the names of its operands
	 */
	String usage() {
		return String.join(" ", this.words) + (this.operands.isEmpty() ? "" : " " + this.operands);
	}

	String description() {
		return this.description;
	}

}
