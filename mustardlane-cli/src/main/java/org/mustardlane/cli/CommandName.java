package org.mustardlane.cli;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The commands of the program.
 */
enum CommandName {

	/** Checks a change. */
	VALIDATE("catalogue validate", "FILE", "check a change without a router", ValidateCommand::new),

	/** Publishes a change. */
	PUBLISH("catalogue publish", "FILE", "publish a change and watch it come into force", PublishCommand::new),

	/** Shows the catalogue. */
	SHOW("catalogue show", "", "print the catalogue as YAML that can be edited and published", ShowCommand::new),

	/** Lists changes. */
	HISTORY("catalogue history", "", "list the newest changes and what became of them", HistoryCommand::new),

	/** Compares revisions. */
	DIFF("catalogue diff", "FROM [TO]", "compare two revisions", DiffCommand::new),

	/** Shows routers. */
	STATUS("status", "", "show what routers know of themselves and of the fleet", StatusCommand::new),

	/** Stops a router. */
	DRAIN("drain", "", "stop one router after the requests in flight", DrainCommand::new),

	/** Draws the time line. */
	TIMELINE("timeline", "", "draw the events of all named routers in causal order", TimelineCommand::new),

	/** Explains a call. */
	EXPLAIN("explain", "REQUEST-ID FILE...", "tell the story of one call from the logs of gateways",
			ExplainCommand::new),

	/** Makes a key. */
	KEY("key", "", "make a random organisation key and its digest", KeyCommand::new);

	private final List<String> words;

	private final String operands;

	private final String description;

	private final Supplier<Command> command;

	CommandName(String words, String operands, String description, Supplier<Command> command) {
		this.words = List.of(words.split(" "));
		this.operands = operands;
		this.description = description;
		this.command = command;
	}

	/**
	 * Finds the command that a command line begins with.
	 * @param line the words of the command line
	 * @return the command
	 */
	static Optional<CommandName> find(List<String> line) {
		return Arrays.stream(values())
			.filter((name) -> line.size() >= name.words.size() && line.subList(0, name.words.size()).equals(name.words))
			.findFirst();
	}

	List<String> operands(List<String> line) {
		return List.copyOf(line.subList(this.words.size(), line.size()));
	}

	Command create() {
		return this.command.get();
	}

	/**
	 * Returns how the command is written.
	 * @return the words and operands
	 */
	String usage() {
		return String.join(" ", this.words) + (this.operands.isEmpty() ? "" : " " + this.operands);
	}

	String description() {
		return this.description;
	}

}
