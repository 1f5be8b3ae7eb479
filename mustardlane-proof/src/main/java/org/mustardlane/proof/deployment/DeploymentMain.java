package org.mustardlane.proof.deployment;

import java.util.Locale;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Simulates all scenarios with each placement strategy and prints the results as CSV.
 */
public final class DeploymentMain {

	private static final int USAGE_ERROR = 2;

	private DeploymentMain() {
	}

	/**
	 * Runs the simulations.
	 * @param args {@code --seed N} for the first seed and {@code --seeds COUNT} for the
	 * number of seeds
	 */
	public static void main(String[] args) {
		try {
			Options options = new Options();
			options.addOption(Option.builder().longOpt("seed").hasArg().get());
			options.addOption(Option.builder().longOpt("seeds").hasArg().get());
			CommandLine commandLine = new DefaultParser().parse(options, args);
			long seed = Long.parseLong(commandLine.getOptionValue("seed", "1"));
			runScenarios(seed, Integer.parseInt(commandLine.getOptionValue("seeds", "3")));
		}
		catch (ParseException | NumberFormatException ex) {
			System.err.println("deployment: " + ex.getMessage());
			System.exit(USAGE_ERROR);
		}
	}

	private static void runScenarios(long seed, int seedCount) {
		System.out.println("load,placement,seed,calls,on time,worst 2 s,refused,broken,p50 ms,p99 ms,"
				+ "prefix tokens read,over bound");
		for (SimulationScenario scenario : SimulationScenario.ALL) {
			for (PlacementStrategy strategy : PlacementStrategy.values()) {
				for (long currentSeed = seed; currentSeed < seed + seedCount; currentSeed++) {
					print(scenario.name(), strategy, currentSeed, scenario.run(strategy, currentSeed));
				}
			}
		}
	}

	private static void print(String scenario, PlacementStrategy strategy, long seed, SimulationResult result) {
		System.out.println(String.format(Locale.ROOT, "%s,%s,%d,%d,%.3f,%.3f,%.3f,%.3f,%.0f,%.0f,%d,%.3f", scenario,
				strategy, seed, result.calls(), result.onTimeShare(), result.worstWindowShare(), result.refusedShare(),
				result.failedShare(), result.firstTokenP50Millis(), result.firstTokenP99Millis(),
				result.processedPrefixTokens(), result.overBoundShare()));
	}

}
