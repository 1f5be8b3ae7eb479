package org.mustardlane.proof.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds the command lines of processes that run on the class path of the harness.
 */
final class JavaCommand {

	private static final List<String> CHEAP_FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
			"-Xshare:auto");

	private JavaCommand() {
	}

	static List<String> of(int heapMebibytes, String mainClass, List<String> args) {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.add("-Xmx" + heapMebibytes + "m");
		command.addAll(CHEAP_FLAGS);
		command.add("-cp");
		command.add(System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
		command.add(mainClass);
		command.addAll(args);
		return command;
	}

}
