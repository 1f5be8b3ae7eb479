package org.mustardlane.router.settings;

import java.util.List;
import java.util.Map;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

/**
 * Tests of {@link SettingsReader}.
 */
public class SettingsReaderTests {

	private static final Map<String, String> REQUIRED_VARIABLES = Map.of("MUSTARDLANE_VM", "vm-1", "MUSTARDLANE_DOMAIN",
			"north", "MUSTARDLANE_PLATFORM_URL", "http://127.0.0.1:8000");

	private static RouterSettings read(String... flags) throws SettingsException {
		return new SettingsReader(flags, REQUIRED_VARIABLES).read();
	}

	private static List<String> rejectedSources(Map<String, String> variables, String... flags) {
		SettingsException ex = expectThrows(SettingsException.class, () -> new SettingsReader(flags, variables).read());
		return ex.findings().stream().map(SettingFinding::source).toList();
	}

	@Test
	public void flagTakesPrecedenceOverVariableAndVariableOverDefault() throws SettingsException {
		RouterSettings settings = read("--domain", "south", "--workers", "7");
		assertEquals(settings.vm().value(), "vm-1");
		assertEquals(settings.domain().value(), "south");
		assertEquals(settings.workers(), 7);
		assertEquals(settings.tickMillis(), 10);
	}

	@Test
	public void allProblemsAreReportedTogetherWithTheirSources() {
		List<String> sources = rejectedSources(
				Map.of("MUSTARDLANE_WORKERS", "many", "MUSTARDLANE_PLATFORM_URL", "ftp://x"), "--vm", "a",
				"--caller-port", "70000", "--insecure-bind", "maybe", "--tls-key", "/nowhere/key");
		assertEquals(sources, List.of("--domain", "--caller-port", "MUSTARDLANE_PLATFORM_URL", "MUSTARDLANE_WORKERS",
				"--tls-certificate", "--tls-key", "--tls-trust", "--insecure-bind"));
	}

	@Test
	public void unknownFlagIsReported() {
		assertEquals(rejectedSources(REQUIRED_VARIABLES, "--wrokers", "3"), List.of("command line"));
		assertEquals(rejectedSources(REQUIRED_VARIABLES, "stray"), List.of("stray"));
	}

	@Test
	public void plainTextBeyondLoopbackRequiresInsecureBind() throws SettingsException {
		assertEquals(rejectedSources(REQUIRED_VARIABLES, "--host", "0.0.0.0"), List.of("--host"));
		assertEquals(read("--host", "0.0.0.0", "--insecure-bind", "true").host(), "0.0.0.0");
	}

	@Test
	public void pathOfPrivateKeyIsRedacted() throws SettingsException {
		String text = new SettingsReader(new String[] { "--tls-key", "/secret/key", "--workers", "3" },
				REQUIRED_VARIABLES)
			.redactedText();
		assertFalse(text.contains("/secret/key"), text);
		assertTrue(text.contains("tls-key=(redacted)"), text);
		assertTrue(text.contains("workers=3"), text);
	}

}
