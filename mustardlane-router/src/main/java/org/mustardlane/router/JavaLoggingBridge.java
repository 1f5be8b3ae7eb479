package org.mustardlane.router;

import java.util.Optional;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;

import org.apache.logging.log4j.Logger;

/**
 * Forwards warnings and errors that libraries log through java.util.logging to Log4j.
 */
public final class JavaLoggingBridge extends Handler {

	private JavaLoggingBridge() {
		setLevel(Level.WARNING);
	}

	/**
	 * Removes the existing handlers of java.util.logging and installs this one.
	 */
	public static void install() {
		LogManager.getLogManager().reset();
		LogManager.getLogManager().getLogger("").addHandler(new JavaLoggingBridge());
	}

	@Override
	public void publish(LogRecord record) {
		if (!isLoggable(record)) {
			return;
		}
		Logger logger = org.apache.logging.log4j.LogManager
			.getLogger(Optional.ofNullable(record.getLoggerName()).orElse("java.util.logging"));
		logger.warn(record.getMessage(), record.getThrown());
	}

	@Override
	public void flush() {
	}

	@Override
	public void close() {
	}

}
