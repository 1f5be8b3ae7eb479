package org.mustardlane.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/**
 * Reads the YAML file of a catalogue change.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
final class ChangeFile {

	private ChangeFile() {
	}

	static String read(String file) throws CommandException {
		try {
			return Files.readString(Path.of(file));
		}
		catch (IOException | InvalidPathException ex) {
			throw new CommandException(ExitCode.USAGE,
					"file %s can not be read as UTF-8 text: %s".formatted(file, ex.getClass().getSimpleName()));
		}
	}

}
