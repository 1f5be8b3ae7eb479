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
 * Tests of the story of one call.
 */
public class ExplainCommandTests {

	private static final List<String> LINES = List.of(
			line("12:00:00.000", "vm-1", "\"event\":\"dependency-lost\",\"topic\":\"ROUTES\""),
			line("12:00:01.000", "vm-2", "\"event\":\"dependency-lost\",\"topic\":\"TARGETS\""),
			"   3.25 vm-1 "
					+ line("12:00:05.000", "vm-1", "\"event\":\"call-sent\",\"requestId\":\"r-1\",\"target\":\"t-1\""),
			line("12:00:05.100", "vm-1", "\"event\":\"target-changed\",\"target\":\"t-1\",\"state\":\"NONE\""),
			line("12:00:05.200", "vm-1", "\"event\":\"call-sent\",\"requestId\":\"r-2\",\"target\":\"t-2\""),
			line("12:00:06.000", "vm-1", "\"event\":\"call-ended\",\"requestId\":\"r-1\",\"outcome\":\"FAILED\""),
			"not a line of a gateway", "{\"time\":\"soon\"}");

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private static String line(String time, String vm, String fields) {
		return "{\"time\":\"2026-01-02T" + time + "Z\",\"level\":\"INFO\",\"vm\":\"" + vm + "\",\"message\":{" + fields
				+ "}}";
	}

	private ExitCode run(String id, String file) {
		PrintStream to = new PrintStream(this.out, true, StandardCharsets.UTF_8);
		return new CommandLineTool(to, to, Map.of()).run(List.of("explain", id, file));
	}

	private static String file() throws IOException {
		Path file = Files.createTempFile("gateway", ".log");
		file.toFile().deleteOnExit();
		Files.write(file, LINES);
		return file.toString();
	}

	@Test
	public void storyHoldsTheCallAndWhatItsVmLostBefore() throws IOException {
		ExplainCommandTests fresh = new ExplainCommandTests();
		assertEquals(fresh.run("r-1", file()), ExitCode.OK);
		String story = fresh.out.toString(StandardCharsets.UTF_8);
		assertTrue(story.contains("topic=ROUTES"), story);
		assertTrue(story.contains("state=NONE"), story);
		assertTrue(story.indexOf("dependency-lost") < story.indexOf("call-sent"), story);
		assertTrue(story.indexOf("call-sent") < story.indexOf("outcome=FAILED"), story);
		assertFalse(story.contains("TARGETS"), story);
		assertFalse(story.contains("r-2"), story);
	}

	@Test
	public void unknownCallIsSaidToBeUnknown() throws IOException {
		ExplainCommandTests fresh = new ExplainCommandTests();
		assertEquals(fresh.run("r-9", file()), ExitCode.UNAVAILABLE);
		assertTrue(fresh.out.toString(StandardCharsets.UTF_8).contains("no line tells of r-9"));
	}

	@Test
	public void missingFileIsNamed() {
		ExplainCommandTests fresh = new ExplainCommandTests();
		assertEquals(fresh.run("r-1", "/does/not/exist"), ExitCode.USAGE);
		assertTrue(fresh.out.toString(StandardCharsets.UTF_8).contains("/does/not/exist"));
	}

}
