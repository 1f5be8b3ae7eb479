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
import org.mustardlane.standin.target.Service;
import org.mustardlane.standin.target.TargetSettings;

/**
 * Starts fakes of the platform, of engines or of plain services.
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
	 * Starts what the first argument names.
	 * @param args platform, engine, engines, service or services, and flags
	 */
	public static void main(String[] args) {
		System.setProperty("log4j2.configurationFile", "log4j2-standin.properties");
		try {
			String kind = (args.length > 0) ? args[0] : "";
			String[] rest = Arrays.copyOfRange(args, Math.min(1, args.length), args.length);
			new StandinMain(new DefaultParser().parse(options(), rest), System.out).start(kind);
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
		PlatformSettings settings = new PlatformSettings((int) number("appends-per-second", 500),
				(long) number("retention-millis", HOUR_MILLIS));
		Platform platform = new Platform(settings);
		int views = (int) number("views", 1);
		for (int index = 0; index < views; index++) {
			announce(server.listen(host(), port(index), new PlatformView(server.loop(), platform)));
		}
	}

	private void startTargets(boolean engines) {
		int count = (int) number("count", 1);
		String name = this.flags.getOptionValue("name", engines ? "engine" : "service");
		for (int index = 0; index < count; index++) {
			HttpServer server = new HttpServer();
			TargetSettings settings = targetSettings(index);
			String target = name + "-" + (index + 1);
			announce(server.listen(host(), port(index), engines ? new Engine(server.loop(), settings, target)
					: new Service(server.loop(), settings, target)));
		}
	}

	private TargetSettings targetSettings(int index) {
		return new TargetSettings((int) number("slots", 8), (long) number("seed", 1) + index,
				(int) number("load-lag-millis", 200),
				Boolean.parseBoolean(this.flags.getOptionValue("checks-fencing", "true")), number("service-millis", 5),
				number("token-millis", 5), number("batch-percent", 2), number("prefill-bytes-per-milli", 100),
				(long) number("cache-bytes", MEBIBYTE), (int) number("event-lag-millis", 200),
				(int) number("event-gap-percent", 5), (int) number("default-tokens", 20));
	}

	private String host() {
		return this.flags.getOptionValue("host", "127.0.0.1");
	}

	private int port(int index) {
		int port = (int) number("port", 0);
		return (port == 0) ? 0 : port + index;
	}

	private double number(String name, double fallback) {
		return Double.parseDouble(this.flags.getOptionValue(name, Double.toString(fallback)));
	}

	private void announce(int port) {
		this.out.println("LISTENING {\"port\":" + port + "}");
		this.out.flush();
	}

}
