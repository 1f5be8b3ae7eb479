package org.mustardlane.core.catalogue;

/**
 * Catalogue changes as YAML for tests.
 */
final class ChangeSamples {

	static final String DIGEST = "0123456789abcdef".repeat(4);

	static final String INITIAL_CATALOGUE = """
			organisations:
			  - {id: o1, keyDigest: '%s', concurrencyLimit: 5, weight: 1}
			targets:
			  - {id: t1, pool: p1, kind: ENGINE, domain: a, host: 127.0.0.1, port: 80, slots: 4, checksFencing: true}
			""".formatted(DIGEST) + entry("e1", 0, 100);

	private ChangeSamples() {
	}

	static String entry(String name, long baseRevision, int loadBoundPercent) {
		return """
				entries:
				  - name: %s
				    base: %d
				    owner: o1
				    serviceClass: URGENT
				    pool: p1
				    idempotent: false
				    streaming: true
				    path: /p
				    bodyLimitBytes: 10
				    answerLimitMillis: 100
				    expectedWorkMillis: 10
				    loadBoundPercent: %d
				""".formatted(name, baseRevision, loadBoundPercent);
	}

	static String removal(String section, String nameField, String name, long baseRevision) {
		return "remove:\n  %s:\n    - {%s: %s, base: %d}\n".formatted(section, nameField, name, baseRevision);
	}

}
