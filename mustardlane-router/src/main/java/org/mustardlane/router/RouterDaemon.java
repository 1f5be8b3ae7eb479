package org.mustardlane.router;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import sun.misc.Signal;

import org.mustardlane.router.settings.RouterSettings;
import org.mustardlane.router.settings.SettingsException;
import org.mustardlane.router.settings.SettingsReader;

/**
 * Main class of the router daemon: reads the settings, starts a router and drains it on
 * SIGTERM or SIGINT.
 */
public final class RouterDaemon {

	private static final int EXIT_USAGE = 2;

	private static final int EXIT_FAILURE = 1;

	private static final int EXIT_SECOND_SIGNAL = 3;

	private RouterDaemon() {
	}

	/**
	 * Runs the daemon and exits the JVM with its exit code.
	 * @param arguments the command-line arguments
	 */
	public static void main(String[] arguments) {
		System.exit(run(arguments));
	}

	private static int run(String[] arguments) {
		try {
			if (arguments.length == 1 && "--version".equals(arguments[0])) {
				System.out.println("mustardlane-router " + Router.version());
				return 0;
			}
			if (arguments.length == 1 && "--help".equals(arguments[0])) {
				HelpFormatter.builder()
					.setShowSince(false)
					.get()
					.printHelp("mustardlane-router", "", SettingsReader.options(), "", true);
				return 0;
			}
			SettingsReader reader = new SettingsReader(arguments, System.getenv());
			return runRouter(reader.read(), reader.redactedText());
		}
		catch (SettingsException ex) {
			ex.findings().forEach((finding) -> System.err.println("setting " + finding));
			return EXIT_USAGE;
		}
		catch (IOException ex) {
			System.err.println(ex.getMessage());
			return EXIT_FAILURE;
		}
	}

	private static int runRouter(RouterSettings settings, String redactedSettings) throws IOException {
		System.setProperty("mustardlane.vm", settings.vm().value());
		System.setProperty("mustardlane.domain", settings.domain().value());
		JavaLoggingBridge.install();
		Logger logger = LogManager.getLogger(RouterDaemon.class);
		logger.info("Settings: {}", redactedSettings);
		try (Router router = new Router(settings)) {
			RouterPorts ports = router.start();
			drainOnSignals(router, logger);
			System.out.println("LISTENING " + announcement(settings, ports));
			System.out.flush();
			router.awaitDrained();
			logger.info("The router has stopped");
			return 0;
		}
		catch (IllegalStateException | IllegalArgumentException ex) {
			logger.error("The router cannot start", ex);
			System.err.println("The router cannot start: " + ex.getMessage());
			return EXIT_FAILURE;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return EXIT_FAILURE;
		}
	}

	private static void drainOnSignals(Router router, Logger logger) {
		AtomicBoolean draining = new AtomicBoolean();
		for (String signalName : new String[] { "TERM", "INT" }) {
			Signal.handle(new Signal(signalName), (signal) -> {
				if (!draining.compareAndSet(false, true)) {
					logger.warn("Received a second signal, exiting immediately");
					Runtime.getRuntime().halt(EXIT_SECOND_SIGNAL);
				}
				router.drain(0);
			});
		}
	}

	private static String announcement(RouterSettings settings, RouterPorts ports) {
		return JsonNodeFactory.instance.objectNode()
			.put("vm", settings.vm().value())
			.put("callerPort", ports.callerPort())
			.put("peerPort", ports.peerPort())
			.put("operatorPort", ports.operatorPort())
			.put("metricsPort", ports.metricsPort())
			.toString();
	}

}
