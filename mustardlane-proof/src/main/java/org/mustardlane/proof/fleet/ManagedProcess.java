package org.mustardlane.proof.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A child process that reports its listening addresses on standard output.
 */
public final class ManagedProcess {

	private static final String LISTENING_PREFIX = "LISTENING ";

	private static final int START_TIMEOUT_SECONDS = 60;

	private static final int EXIT_TIMEOUT_SECONDS = 60;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final String name;

	private final Process process;

	private final Path logFile;

	private final BlockingQueue<String> listeningLines = new LinkedBlockingQueue<>();

	private ManagedProcess(String name, Process process, Path logFile) {
		this.name = name;
		this.process = process;
		this.logFile = logFile;
	}

	/**
	 * Starts a process.
	 * @param name the name used in error messages
	 * @param command the command line
	 * @param logFile the file to which standard error is appended
	 * @return the started process
	 * @throws FleetException if the process does not start
	 */
	public static ManagedProcess start(String name, List<String> command, Path logFile) throws FleetException {
		try {
			Process process = new ProcessBuilder(command)
				.redirectError(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
				.start();
			ManagedProcess managed = new ManagedProcess(name, process, logFile);
			Thread reader = new Thread(managed::readOutput, name + "-output");
			reader.setDaemon(true);
			reader.start();
			return managed;
		}
		catch (IOException ex) {
			throw new FleetException(name + " cannot be started", ex);
		}
	}

	/**
	 * Waits until the process has reported its listening addresses.
	 * @param count the number of lines to wait for
	 * @return the parsed content of the lines
	 * @throws FleetException if the process exits, does not report in time or prints a
	 * malformed line
	 */
	public List<JsonNode> awaitListeningLines(int count) throws FleetException {
		List<JsonNode> lines = new ArrayList<>();
		long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
		try {
			while (lines.size() < count) {
				String line = this.listeningLines.poll(100, TimeUnit.MILLISECONDS);
				if (line != null) {
					lines.add(MAPPER.readTree(line));
				}
				else if (!this.process.isAlive() || System.nanoTime() > deadlineNanos) {
					throw new FleetException(
							this.name + " has not reported its listening addresses, see " + this.logFile);
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new FleetException("interrupted", ex);
		}
		catch (IOException ex) {
			throw new FleetException(this.name + " printed a malformed line", ex);
		}
		return lines;
	}

	/**
	 * Returns the name of the process.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the process id.
	 * @return the process id
	 */
	public long pid() {
		return this.process.pid();
	}

	/**
	 * Returns whether the process is running.
	 * @return whether the process is running
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Sends a signal to the process.
	 * @param signal the signal
	 * @throws FleetException if the signal cannot be sent
	 */
	public void sendSignal(Signal signal) throws FleetException {
		try {
			Process killCommand = new ProcessBuilder("kill", "-" + signal.name(), Long.toString(pid())).inheritIO()
				.start();
			killCommand.waitFor(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (IOException ex) {
			throw new FleetException("cannot run the kill command", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new FleetException("interrupted", ex);
		}
	}

	/**
	 * Waits up to a minute for the process to exit.
	 * @return whether the process has exited
	 */
	public boolean awaitExit() {
		try {
			return this.process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Kills the process and waits for its exit.
	 */
	public void kill() {
		this.process.destroyForcibly();
		awaitExit();
	}

	private void readOutput() {
		try (BufferedReader reader = new BufferedReader(
				new InputStreamReader(this.process.getInputStream(), StandardCharsets.UTF_8))) {
			String line = reader.readLine();
			while (line != null) {
				if (line.startsWith(LISTENING_PREFIX)) {
					this.listeningLines.add(line.substring(LISTENING_PREFIX.length()));
				}
				line = reader.readLine();
			}
		}
		catch (IOException ex) {
			// The process has exited, which awaitListeningLines reports.
		}
	}

}
