package org.mustardlane.standin;

import java.io.PrintStream;
import java.util.Arrays;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

import org.mustardlane.standin.http.HttpServer;
import org.mustardlane.standin.platform.Platform;
import org.mustardlane.standin.platform.PlatformSettings;
import org.mustardlane.standin.platform.PlatformView;
import org.mustardlane.standin.target.Engine;
import org.mustardlane.standin.target.PlainService;
import org.mustardlane.standin.target.TargetSettings;

/**
 * Command-line program that starts fakes of the platform, of engines or of plain
 * services.
 */
public final class StandinMain {

	private static final int USAGE_ERROR = 2;

	private static final long HOUR_MILLIS = 3_600_000;

	private static final int MEBIBYTE = 1024 * 1024;

	private final CommandLine flags;

	private final PrintStream out;

	private StandinMain(CommandLine flags, PrintStream out) {
		this.flags = flags;
		this.out = out;
	}

	/**
	 * Starts the fakes that the first argument selects and prints the port of each.
	 * @param args {@code platform}, {@code engine}, {@code engines}, {@code service} or
	 * {@code services}, followed by flags
	 */
	public static void main(String[] args) {
		System.setProperty("log4j2.configurationFile", "log4j2-standin.properties");
		try {
			String kind = (args.length > 0) ? args[0] : "";
			String[] flagArguments = Arrays.copyOfRange(args, Math.min(1, args.length), args.length);
			new StandinMain(new DefaultParser().parse(options(), flagArguments), System.out).start(kind);
		}
		catch (ParseException | NumberFormatException ex) {
			System.err.println("standin: " + ex.getMessage());
			System.exit(USAGE_ERROR);
		}
	}

	private static Options options() {
		Options options = new Options();
		for (String name : new String[] { "host", "port", "name", "count", "slots", "seed", "load-lag-millis",
				"checks-fencing", "service-millis", "token-millis", "batch-percent", "prefill-bytes-per-milli",
				"cache-bytes", "event-lag-millis", "event-gap-percent", "default-tokens", "appends-per-second",
				"retention-millis", "views" }) {
			options.addOption(Option.builder().longOpt(name).hasArg().get());
		}
		return options;
	}

	private void start(String kind) throws ParseException {
		switch (kind) {
			case "platform" -> startPlatform();
			case "engine", "engines" -> startTargets(true);
			case "service", "services" -> startTargets(false);
			default -> throw new ParseException("first argument must be platform, engine(s) or service(s)");
		}
	}

	private void startPlatform() {
		HttpServer server = new HttpServer();
		PlatformSettings settings = new PlatformSettings((int) numberFlag("appends-per-second", 500),
				(long) numberFlag("retention-millis", HOUR_MILLIS));
		Platform platform = new Platform(settings);
		int viewCount = (int) numberFlag("views", 1);
		for (int index = 0; index < viewCount; index++) {
			printPort(server.listen(host(), port(index), new PlatformView(server.eventLoop(), platform)));
		}
	}

	private void startTargets(boolean isEngine) {
		int count = (int) numberFlag("count", 1);
		String namePrefix = this.flags.getOptionValue("name", isEngine ? "engine" : "service");
		for (int index = 0; index < count; index++) {
			HttpServer server = new HttpServer();
			TargetSettings settings = targetSettings(index);
			String targetName = namePrefix + "-" + (index + 1);
			printPort(server.listen(host(), port(index), isEngine ? new Engine(server.eventLoop(), settings, targetName)
					: new PlainService(server.eventLoop(), settings, targetName)));
		}
	}

	private TargetSettings targetSettings(int index) {
		return new TargetSettings((int) numberFlag("slots", 8), (long) numberFlag("seed", 1) + index,
				(int) numberFlag("load-lag-millis", 200),
				Boolean.parseBoolean(this.flags.getOptionValue("checks-fencing", "true")),
				numberFlag("service-millis", 5), numberFlag("token-millis", 5), numberFlag("batch-percent", 2),
				numberFlag("prefill-bytes-per-milli", 100), (long) numberFlag("cache-bytes", MEBIBYTE),
				(int) numberFlag("event-lag-millis", 200), (int) numberFlag("event-gap-percent", 5),
				(int) numberFlag("default-tokens", 20));
	}

	private String host() {
		return this.flags.getOptionValue("host", "127.0.0.1");
	}

	private int port(int index) {
		int port = (int) numberFlag("port", 0);
		return (port == 0) ? 0 : port + index;
	}

	private double numberFlag(String name, double defaultValue) {
		return Double.parseDouble(this.flags.getOptionValue(name, Double.toString(defaultValue)));
	}

	private void printPort(int port) {
		this.out.println("LISTENING {\"port\":" + port + "}");
		this.out.flush();
	}

}
