package org.mustardlane.proof.measure;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.OperatingSystemMXBean;
import java.nio.file.Path;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

import org.mustardlane.proof.fleet.FleetException;

/**
 * Measures real routers in front of stand-in engines and writes a report.
 */
public final class MeasureMain {

	private static final int USAGE_ERROR = 2;

	private static final int FAILURE = 1;

	private MeasureMain() {
	}

	/**
	 * Runs the measurements. The exit code is 1 if a goal is missed with {@code --check}
	 * or a measurement fails, and 2 for wrong arguments.
	 * @param args {@code --seed N}, {@code --check}, {@code --naive direct|router},
	 * {@code --routers N}, {@code --rows a,b}, {@code --directory D}
	 */
	public static void main(String[] args) {
		System.exit(run(args));
	}

	private static int run(String[] args) {
		try {
			MeasureSettings settings = parseSettings(args);
			System.out.println(describeMachineLoad("start"));
			List<ReportRow> rows = new MeasureRun(settings, System.err).run();
			ReportWriter writer = new ReportWriter(rows, "mustardlane, seed " + settings.seed());
			System.out.print(writer.table());
			System.out.println(describeMachineLoad("end"));
			writer.write(settings.directory());
			System.out.println("CSV and plots are in " + settings.directory().toAbsolutePath());
			return (settings.failsOnMissedGoal() && rows.stream().anyMatch(ReportRow::isMissed)) ? FAILURE : 0;
		}
		catch (ParseException | NumberFormatException ex) {
			System.err.println("measure: " + ex.getMessage());
			return USAGE_ERROR;
		}
		catch (FleetException | IOException ex) {
			System.err.println("measure: " + ex.getMessage());
			return FAILURE;
		}
	}

	private static String describeMachineLoad(String moment) {
		OperatingSystemMXBean system = ManagementFactory.getOperatingSystemMXBean();
		return "load average of the machine at the %s: %.1f over %d processors".formatted(moment,
				system.getSystemLoadAverage(), system.getAvailableProcessors());
	}

	private static MeasureSettings parseSettings(String[] args) throws ParseException {
		Options options = new Options();
		options.addOption(Option.builder().longOpt("check").get());
		for (String name : List.of("seed", "naive", "routers", "rows", "directory")) {
			options.addOption(Option.builder().longOpt(name).hasArg().get());
		}
		CommandLine commandLine = new DefaultParser().parse(options, args);
		long seed = Long.parseLong(commandLine.getOptionValue("seed", "1"));
		String rows = commandLine.getOptionValue("rows", "");
		return new MeasureSettings(seed, commandLine.hasOption("check"),
				commandLine.getOptionValue("naive", "direct").equals("direct"),
				Integer.parseInt(commandLine.getOptionValue("routers", "15")),
				rows.isEmpty() ? List.of() : List.of(rows.split(",")),
				Path.of(commandLine.getOptionValue("directory", "out/measure-" + seed)));
	}

}
