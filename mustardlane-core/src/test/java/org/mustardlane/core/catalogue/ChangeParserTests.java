package org.mustardlane.core.catalogue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.mustardlane.core.model.catalogue.Finding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link ChangeParser}.
 */
public class ChangeParserTests {

	private static final String ORGANISATION = "organisations:\n  - {id: o1, keyDigest: '%s', concurrencyLimit: 1, weight: 1}\n"
		.formatted(ChangeSamples.DIGEST);

	@DataProvider
	public Object[][] invalidChanges() {
		return new Object[][] { { "", "", "", "the document is empty" }, { "a: [", "", "", "not YAML" },
				{ "- x", "", "- x", "must be a mapping with sections" }, { "{}", "", "{}", "the change is empty" },
				{ "entrys: []", "entrys", "entrys", "unknown section" },
				{ "entries: 5", "entries", "5", "must be a list" },
				{ "entries:\n  - 5", "entries[0]", "5", "must be a mapping" },
				{ "remove: []", "remove", "[]", "must be a mapping" },
				{ "remove:\n  x: []", "remove.x", "x: ", "unknown section" },
				{ "remove:\n  targets:\n    - {id: t}", "remove.targets[0].base", "{id", "is missing" },
				{ organisationWith("weight: 1", "weight: 1, wait: 1"), "organisations[0].wait", "wait",
						"unknown field" },
				{ organisationWith(", weight: 1", ""), "organisations[0].weight", "{id", "is missing" },
				{ organisationWith("weight: 1", "weight: 0"), "organisations[0].weight", "0}",
						"must be from 1 to 1000" },
				{ organisationWith("weight: 1", "weight: 99999999999"), "organisations[0].weight", "99999999999",
						"is too large" },
				{ organisationWith("weight: 1", "weight: many"), "organisations[0].weight", "many",
						"must be a whole number" },
				{ organisationWith("weight: 1", "weight: [1]"), "organisations[0].weight", "[1]",
						"must be a single value" },
				{ organisationWith("weight: 1", "weight: 1, weight: 2"), "organisations[0].weight", "weight: 2",
						"the field stands twice" },
				{ organisationWith("id: o1", "id: 'o 1'"), "organisations[0].id", "'o 1'", "must be 1 to 64" },
				{ organisationWith("id: o1", "id: ''"), "organisations[0].id", "'',", "must not be empty" },
				{ organisationWith("id: o1", "id: o1, base: -1"), "organisations[0].base", "-1",
						"must not be negative" },
				{ organisationWith("'0123", "'xyz"), "organisations[0].keyDigest", "'xyz", "must be a SHA-256" },
				{ ORGANISATION + ORGANISATION.lines().skip(1).findFirst().orElseThrow(), "organisations[1].id", "o1",
						"organisation o1 stands twice in the change, first at line 2" },
				{ ORGANISATION + "---\n" + ORGANISATION, "", "organisations", "only one document" },
				{ "organisations: &a []\ntargets: *a", "targets", "*a", "anchors and aliases" },
				{ ChangeSamples.INITIAL_CATALOGUE.replace("URGENT", "SOON"), "entries[0].serviceClass", "SOON",
						"must be one of URGENT, INTERACTIVE, BULK" },
				{ ChangeSamples.INITIAL_CATALOGUE.replace("idempotent: false", "idempotent: no"),
						"entries[0].idempotent", "no\n", "must be true or false" },
				{ ChangeSamples.INITIAL_CATALOGUE.replace("path: /p", "path: p3"), "entries[0].path", "p3",
						"must begin with '/'" },
				{ ChangeSamples.INITIAL_CATALOGUE.replace("Millis: 10\n", "Millis: 101\n"),
						"entries[0].expectedWorkMillis", "101", "must not be above answerLimitMillis" },
				{ ChangeSamples.INITIAL_CATALOGUE.replace("127.0.0.1", "engine.example"), "targets[0].host",
						"engine.example", "must be an IP address" },
				{ "a: b: c", "", ": c", "not YAML" }, { "[".repeat(30), "", "[".repeat(30), "nested deeper" } };
	}

	private static String organisationWith(String original, String replacement) {
		return ORGANISATION.replace(original, replacement);
	}

	@Test(dataProvider = "invalidChanges")
	public void reportsErrorWithItsPosition(String yaml, String path, String textAtPosition, String message) {
		ParsedChange parsed = ChangeParser.parse(yaml);
		assertTrue(parsed.delta().isEmpty());
		Finding finding = parsed.findings()
			.stream()
			.filter((candidate) -> candidate.path().equals(path) && candidate.message().contains(message))
			.findFirst()
			.orElseThrow(() -> new AssertionError("expected finding is missing, found: " + parsed.findings()));
		int offset = yaml.lastIndexOf(textAtPosition);
		String before = yaml.substring(0, offset);
		int line = 1 + (int) before.chars().filter((character) -> character == '\n').count();
		int column = offset - before.lastIndexOf('\n');
		assertEquals(finding, new Finding(path, line, column, finding.message()));
	}

	@Test
	public void collectsAllFindingsSortedByPosition() {
		List<Finding> findings = ChangeParser
			.parse("remove:\n  entries: 1\ntargets:\n  - {id: t, port: 0, slots: x, odd: 1}\n")
			.findings();
		assertEquals(findings.stream().map(Finding::path).sorted().toList(),
				List.of("remove.entries", "targets[0].checksFencing", "targets[0].domain", "targets[0].host",
						"targets[0].kind", "targets[0].odd", "targets[0].pool", "targets[0].port", "targets[0].slots"));
		assertEquals(findings.get(0).path(), "remove.entries");
	}

	@Test
	public void parsesTheExampleAndItsFormattedState() throws IOException {
		String example = Files.readString(Path.of("..", "examples", "catalogue.yaml"));
		ParsedChange parsed = ChangeParser.parse(example);
		assertEquals(parsed.findings(), List.of());
		CatalogueState state = CatalogueState.EMPTY.applyDelta(parsed.delta().orElseThrow(), 7);
		assertEquals(ReferenceRules.check(state), List.of());
		CatalogueDelta reparsed = ChangeParser.parse(CatalogueYaml.format(state)).delta().orElseThrow();
		assertEquals(state.applyDelta(reparsed, 7), state);
		assertTrue(reparsed.baseRevisions().values().stream().allMatch((baseRevision) -> baseRevision == 7));
	}

	@Test
	public void parsesCorruptedTextIntoAChangeOrFindings() {
		byte[] sample = ChangeSamples.INITIAL_CATALOGUE.getBytes(StandardCharsets.UTF_8);
		Fuzz fuzz = new Fuzz(11, List.of(sample));
		int acceptedCount = 0;
		for (int round = 0; round < 10_000; round++) {
			ParsedChange parsed = ChangeParser.parse(new String(fuzz.nextInput(), StandardCharsets.UTF_8));
			assertEquals(parsed.delta().isPresent(), parsed.findings().isEmpty());
			acceptedCount += parsed.delta().isPresent() ? 1 : 0;
		}
		assertTrue(acceptedCount > 0 && acceptedCount < 10_000, "accepted documents: " + acceptedCount);
	}

}
