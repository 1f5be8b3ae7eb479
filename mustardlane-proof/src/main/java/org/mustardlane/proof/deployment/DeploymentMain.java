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
			CommandLine line = new DefaultParser().parse(options, args);
			long seed = Long.parseLong(line.getOptionValue("seed", "1"));
			play(seed, Integer.parseInt(line.getOptionValue("seeds", "3")));
		}
		catch (ParseException | NumberFormatException ex) {
			System.err.println("deployment: " + ex.getMessage());
			System.exit(USAGE_ERROR);
		}
	}

	private static void play(long seed, int seeds) {
		System.out.println("load,placement,seed,calls,on time,worst 2 s,refused,broken,p50 ms,p99 ms,"
				+ "prefix tokens read,over bound");
		for (Scene scene : Scene.ALL) {
			for (PlacementChoice choice : PlacementChoice.values()) {
				for (long each = seed; each < seed + seeds; each++) {
					print(scene.name(), choice, each, scene.play(choice, each));
				}
			}
		}
	}

	private static void print(String name, PlacementChoice choice, long seed, ModelResult result) {
		System.out.println(String.format(Locale.ROOT, "%s,%s,%d,%d,%.3f,%.3f,%.3f,%.3f,%.0f,%.0f,%d,%.3f", name, choice,
				seed, result.calls(), result.onTimeShare(), result.worstSecondsShare(), result.refusedShare(),
				result.brokenShare(), result.firstTokenP50Millis(), result.firstTokenP99Millis(),
				result.prefixTokensRead(), result.overBoundShare()));
	}

}
