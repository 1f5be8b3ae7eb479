package org.mustardlane.proof.fleet;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds the command lines of Java processes that run on the class path of this process.
 */
final class JavaCommand {

	private static final List<String> FAST_START_FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
			"-Xshare:auto");

	private static final List<String> OPTIMISED_FLAGS = List.of("-XX:+UseSerialGC");

	private JavaCommand() {
	}

	/**
	 * Returns the command line of a process with fast start-up, of which many run at
	 * once.
	 * @param heapMebibytes the maximum heap size in MiB
	 * @param mainClass the main class
	 * @param args the program arguments
	 * @return the command line
	 */
	static List<String> fastStartCommand(int heapMebibytes, String mainClass, List<String> args) {
		return build(heapMebibytes, FAST_START_FLAGS, mainClass, args);
	}

	/**
	 * Returns the command line of a process with all JIT optimisations, for measurements.
	 * @param heapMebibytes the maximum heap size in MiB
	 * @param mainClass the main class
	 * @param args the program arguments
	 * @return the command line
	 */
	static List<String> optimisedCommand(int heapMebibytes, String mainClass, List<String> args) {
		return build(heapMebibytes, OPTIMISED_FLAGS, mainClass, args);
	}

	private static List<String> build(int heapMebibytes, List<String> flags, String mainClass, List<String> args) {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.add("-Xmx" + heapMebibytes + "m");
		command.addAll(flags);
		command.add("-cp");
		command.add(System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")));
		command.add(mainClass);
		command.addAll(args);
		return command;
	}

}
