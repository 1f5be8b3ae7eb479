package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.catalogue.Target;

/**
 * The ranges and formats of the fields of single items.
 *
 * <p>
 * The same rules hold for a change that is published and for a record that is read back
 * from the log. Thread-safe: all methods are pure functions.
 */
final class ItemRules {

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

	private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

	private static final Pattern IPV4 = Pattern
		.compile("((25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)\\.){3}(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)");

	private static final Pattern IPV6 = Pattern.compile("(?=.*:.*:)[0-9A-Fa-f:]{2,39}");

	private static final Pattern PATH = Pattern.compile("/[!-~&&[^?#]]{0,1023}");

	private static final String NAME_RULE = "must be 1 to 64 letters, digits, dots, dashes or underscores, "
			+ "and begin with a letter or digit";

	private static final int MAX_PORT = 65_535;

	private static final int MAX_SLOTS = 100_000;

	private static final int MAX_CONCURRENCY = 1_000_000;

	private static final int MAX_WEIGHT = 1_000;

	private static final int MAX_BODY_BYTES = 1 << 28;

	private static final int MAX_ANSWER_MILLIS = 86_400_000;

	private static final int MIN_LOAD_BOUND_PERCENT = 100;

	private static final int MAX_LOAD_BOUND_PERCENT = 10_000;

	private ItemRules() {
	}

	/**
	 * Checks an organisation.
	 * @param organisation the organisation
	 * @return what is wrong
	 */
	static List<Violation> check(Organisation organisation) {
		Check check = new Check();
		check.matches("id", organisation.id().value(), NAME, NAME_RULE);
		check.matches("keyDigest", organisation.keyDigest(), DIGEST,
				"must be a SHA-256 digest of 64 lower-case hexadecimal digits; 'mustardlane key' makes one");
		check.range("concurrencyLimit", organisation.concurrencyLimit(), 1, MAX_CONCURRENCY);
		check.range("weight", organisation.weight(), 1, MAX_WEIGHT);
		return check.violations;
	}

	/**
	 * Checks a target.
	 * @param target the target
	 * @return what is wrong
	 */
	static List<Violation> check(Target target) {
		Check check = new Check();
		check.matches("id", target.id().value(), NAME, NAME_RULE);
		check.matches("pool", target.pool().value(), NAME, NAME_RULE);
		check.matches("domain", target.domain().value(), NAME, NAME_RULE);
		check.require("host", IPV4.matcher(target.host()).matches() || IPV6.matcher(target.host()).matches(),
				"must be an IP address");
		check.range("port", target.port(), 1, MAX_PORT);
		check.range("slots", target.slots(), 1, MAX_SLOTS);
		return check.violations;
	}

	/**
	 * Checks an entry.
	 * @param entry the entry
	 * @return what is wrong
	 */
	static List<Violation> check(CatalogueEntry entry) {
		Check check = new Check();
		check.matches("name", entry.name().value(), NAME, NAME_RULE);
		check.matches("owner", entry.owner().value(), NAME, NAME_RULE);
		check.matches("pool", entry.pool().value(), NAME, NAME_RULE);
		check.matches("path", entry.path(), PATH,
				"must begin with '/' and hold up to 1024 visible ASCII characters without '?' and '#'");
		check.range("bodyLimitBytes", entry.bodyLimitBytes(), 1, MAX_BODY_BYTES);
		check.range("answerLimitMillis", entry.answerLimitMillis(), 1, MAX_ANSWER_MILLIS);
		check.range("expectedWorkMillis", entry.expectedWorkMillis(), 1, MAX_ANSWER_MILLIS);
		check.require("expectedWorkMillis", entry.expectedWorkMillis() <= entry.answerLimitMillis(),
				"must not be above answerLimitMillis");
		check.range("loadBoundPercent", entry.loadBoundPercent(), MIN_LOAD_BOUND_PERCENT, MAX_LOAD_BOUND_PERCENT);
		return check.violations;
	}

	/**
	 * Checks the name of an item.
	 * @param key the item
	 * @return what is wrong
	 */
	static List<Violation> check(ItemKey key) {
		Check check = new Check();
		check.matches(key.kind().nameField(), key.name(), NAME, NAME_RULE);
		return check.violations;
	}

	/**
	 * A field that breaks a rule.
	 *
	 * @param field the field
	 * @param message what is wrong, in words
	 */
	record Violation(String field, String message) {

	}

	private static final class Check {

		private final List<Violation> violations = new ArrayList<>();

		private void require(String field, boolean holds, String message) {
			if (!holds) {
				this.violations.add(new Violation(field, message));
			}
		}

		private void matches(String field, String value, Pattern pattern, String message) {
			require(field, pattern.matcher(value).matches(), message);
		}

		private void range(String field, int value, int least, int most) {
			require(field, value >= least && value <= most, "must be from %d to %d".formatted(least, most));
		}

	}

}
