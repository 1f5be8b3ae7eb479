package org.mustardlane.proof.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Collection;

import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.standin.target.ResponseText;

/**
 * Generates the YAML catalogue changes that the test fleets publish.
 */
public final class CatalogueYaml {

	/**
	 * The organisation that owns all entries and makes calls by default.
	 */
	public static final String ORGANISATION = "harrow";

	/**
	 * Further organisations whose keys are in the catalogue.
	 */
	private static final String[] OTHER_ORGANISATIONS = { "pell", "alliance", "sorting", "buyers", "insurer" };

	private static final String API_KEY_SUFFIX = "-key";

	private CatalogueYaml() {
	}

	/**
	 * Returns the API key of an organisation.
	 * @param organisation the name of the organisation
	 * @return the API key
	 */
	public static String apiKey(String organisation) {
		return organisation + API_KEY_SUFFIX;
	}

	/**
	 * Generates the initial catalogue: all organisations, targets and entries.
	 * @param targets the targets to list
	 * @param slots number of requests that each target runs at once
	 * @return the catalogue change as YAML
	 */
	public static String initialCatalogue(Collection<TargetHandle> targets, int slots) {
		StringBuilder yaml = new StringBuilder("organisations:\n");
		appendOrganisation(yaml, ORGANISATION);
		for (String other : OTHER_ORGANISATIONS) {
			appendOrganisation(yaml, other);
		}
		yaml.append("targets:\n");
		targets.forEach((target) -> yaml.append(targetRow(target, slots)));
		yaml.append("entries:\n");
		yaml.append(entryRow("chat", "INTERACTIVE", "models", true, true, 60_000, 150, 0));
		yaml.append(entryRow("summary", "BULK", "models", true, true, 120_000, 5_000, 0));
		yaml.append(entryRow("triage", "URGENT", "models", true, true, 60_000, 60, 0));
		yaml.append(entryRow("record", "INTERACTIVE", "models", false, true, 60_000, 150, 0));
		yaml.append(entryRow("release", "URGENT", "desk", false, false, 60_000, 20, 0));
		yaml.append(entryRow("status", "INTERACTIVE", "desk", true, false, 60_000, 20, 0));
		return yaml.toString();
	}

	/**
	 * Generates a change that updates the answer limit of one entry of the plain service.
	 * @param name the name of the entry
	 * @param answerLimitMillis the new answer limit in milliseconds
	 * @param baseRevision the catalogue revision that the change is based on
	 * @return the catalogue change as YAML
	 */
	public static String entryChange(String name, int answerLimitMillis, long baseRevision) {
		return "entries:\n" + entryRow(name, "INTERACTIVE", "desk", true, false, answerLimitMillis, 20, baseRevision);
	}

	private static void appendOrganisation(StringBuilder yaml, String name) {
		String digest = ResponseText.sha256Hex(apiKey(name).getBytes(StandardCharsets.UTF_8));
		yaml.append("- {id: %s, keyDigest: \"%s\", concurrencyLimit: 10000, weight: 1}%n".formatted(name, digest));
	}

	private static String targetRow(TargetHandle target, int slots) {
		String pool = (target.kind() == TargetKind.ENGINE) ? "models" : "desk";
		return "- {id: %s, pool: %s, kind: %s, domain: %s, host: 127.0.0.1, port: %d, slots: %d, checksFencing: true}%n"
			.formatted(target.name(), pool, target.kind(), target.domain(), target.routedPort(), slots);
	}

	private static String entryRow(String name, String serviceClass, String pool, boolean idempotent, boolean streaming,
			int answerLimitMillis, int expectedWorkMillis, long baseRevision) {
		return ("- {name: %s, owner: %s, serviceClass: %s, pool: %s, idempotent: %s, streaming: %s, path: /v1/%s, "
				+ "bodyLimitBytes: 1048576, answerLimitMillis: %d, expectedWorkMillis: %d, loadBoundPercent: 125%s}%n")
			.formatted(name, ORGANISATION, serviceClass, pool, idempotent, streaming, name, answerLimitMillis,
					expectedWorkMillis, (baseRevision > 0) ? ", base: " + baseRevision : "");
	}

}
