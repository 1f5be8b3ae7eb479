package org.mustardlane.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link ExplainCommand}.
 */
public class ExplainCommandTests {

	private static final List<String> LOG_LINES = List.of(
			logLine("12:00:00.000", "vm-1", "\"event\":\"dependency-lost\",\"topic\":\"ROUTES\""),
			logLine("12:00:01.000", "vm-2", "\"event\":\"dependency-lost\",\"topic\":\"TARGETS\""),
			"   3.25 vm-1 " + logLine("12:00:05.000", "vm-1",
					"\"event\":\"call-sent\",\"requestId\":\"r-1\",\"target\":\"t-1\""),
			logLine("12:00:05.100", "vm-1", "\"event\":\"target-changed\",\"target\":\"t-1\",\"state\":\"NONE\""),
			logLine("12:00:05.200", "vm-1", "\"event\":\"call-sent\",\"requestId\":\"r-2\",\"target\":\"t-2\""),
			logLine("12:00:06.000", "vm-1", "\"event\":\"call-ended\",\"requestId\":\"r-1\",\"outcome\":\"FAILED\""),
			"not a line of a gateway", "{\"time\":\"soon\"}");

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private static String logLine(String time, String vm, String fields) {
		return "{\"time\":\"2026-01-02T" + time + "Z\",\"level\":\"INFO\",\"vm\":\"" + vm + "\",\"message\":{" + fields
				+ "}}";
	}

	private ExitCode run(String requestId, String file) {
		PrintStream output = new PrintStream(this.out, true, StandardCharsets.UTF_8);
		return new CommandLineTool(output, output, Map.of()).run(List.of("explain", requestId, file));
	}

	private static String createLogFile() throws IOException {
		Path file = Files.createTempFile("gateway", ".log");
		file.toFile().deleteOnExit();
		Files.write(file, LOG_LINES);
		return file.toString();
	}

	@Test
	public void showsTheCallAndTheStateChangesOfItsVmAndTarget() throws IOException {
		ExplainCommandTests freshInstance = new ExplainCommandTests();
		assertEquals(freshInstance.run("r-1", createLogFile()), ExitCode.OK);
		String output = freshInstance.out.toString(StandardCharsets.UTF_8);
		assertTrue(output.contains("topic=ROUTES"), output);
		assertTrue(output.contains("state=NONE"), output);
		assertTrue(output.indexOf("dependency-lost") < output.indexOf("call-sent"), output);
		assertTrue(output.indexOf("call-sent") < output.indexOf("outcome=FAILED"), output);
		assertFalse(output.contains("TARGETS"), output);
		assertFalse(output.contains("r-2"), output);
	}

	@Test
	public void reportsThatNoLineWasFoundForAnUnknownCall() throws IOException {
		ExplainCommandTests freshInstance = new ExplainCommandTests();
		assertEquals(freshInstance.run("r-9", createLogFile()), ExitCode.UNAVAILABLE);
		assertTrue(freshInstance.out.toString(StandardCharsets.UTF_8).contains("no line found for request r-9"));
	}

	@Test
	public void reportsTheNameOfAMissingFile() {
		ExplainCommandTests freshInstance = new ExplainCommandTests();
		assertEquals(freshInstance.run("r-1", "/does/not/exist"), ExitCode.USAGE);
		assertTrue(freshInstance.out.toString(StandardCharsets.UTF_8).contains("/does/not/exist"));
	}

}
