package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

import org.mustardlane.core.model.catalogue.CatalogueEntry;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.catalogue.Target;

/**
 * Rules for the ranges and formats of the fields of single items.
 *
 * <p>
 * The rules apply both to a change that is to be published and to a record that is
 * decoded from the log. Thread-safe: all methods are pure functions.
 */
final class ItemRules {

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

	private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");

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

	private static final int MAX_ANSWER_LIMIT_MILLIS = 86_400_000;

	private static final int MIN_LOAD_BOUND_PERCENT = 100;

	private static final int MAX_LOAD_BOUND_PERCENT = 10_000;

	private ItemRules() {
	}

	/**
	 * Checks an organisation.
	 * @param organisation the organisation
	 * @return one violation for each rule that does not hold, empty if the item is valid
	 */
	static List<Violation> check(Organisation organisation) {
		RuleChecker checker = new RuleChecker();
		checker.requireMatch("id", organisation.id().value(), NAME, NAME_RULE);
		checker.requireMatch("keyDigest", organisation.keyDigest(), SHA256_HEX,
				"must be a SHA-256 digest of 64 lower-case hexadecimal digits; 'mustardlane key' makes one");
		checker.requireRange("concurrencyLimit", organisation.concurrencyLimit(), 1, MAX_CONCURRENCY);
		checker.requireRange("weight", organisation.weight(), 1, MAX_WEIGHT);
		return checker.violations;
	}

	/**
	 * Checks a target.
	 * @param target the target
	 * @return one violation for each rule that does not hold, empty if the item is valid
	 */
	static List<Violation> check(Target target) {
		RuleChecker checker = new RuleChecker();
		checker.requireMatch("id", target.id().value(), NAME, NAME_RULE);
		checker.requireMatch("pool", target.pool().value(), NAME, NAME_RULE);
		checker.requireMatch("domain", target.domain().value(), NAME, NAME_RULE);
		checker.require("host", IPV4.matcher(target.host()).matches() || IPV6.matcher(target.host()).matches(),
				"must be an IP address");
		checker.requireRange("port", target.port(), 1, MAX_PORT);
		checker.requireRange("slots", target.slots(), 1, MAX_SLOTS);
		return checker.violations;
	}

	/**
	 * Checks an entry.
	 * @param entry the entry
	 * @return one violation for each rule that does not hold, empty if the item is valid
	 */
	static List<Violation> check(CatalogueEntry entry) {
		RuleChecker checker = new RuleChecker();
		checker.requireMatch("name", entry.name().value(), NAME, NAME_RULE);
		checker.requireMatch("owner", entry.owner().value(), NAME, NAME_RULE);
		checker.requireMatch("pool", entry.pool().value(), NAME, NAME_RULE);
		checker.requireMatch("path", entry.path(), PATH,
				"must begin with '/' and hold up to 1024 visible ASCII characters without '?' and '#'");
		checker.requireRange("bodyLimitBytes", entry.bodyLimitBytes(), 1, MAX_BODY_BYTES);
		checker.requireRange("answerLimitMillis", entry.answerLimitMillis(), 1, MAX_ANSWER_LIMIT_MILLIS);
		checker.requireRange("expectedWorkMillis", entry.expectedWorkMillis(), 1, MAX_ANSWER_LIMIT_MILLIS);
		checker.require("expectedWorkMillis", entry.expectedWorkMillis() <= entry.answerLimitMillis(),
				"must not be above answerLimitMillis");
		checker.requireRange("loadBoundPercent", entry.loadBoundPercent(), MIN_LOAD_BOUND_PERCENT,
				MAX_LOAD_BOUND_PERCENT);
		return checker.violations;
	}

	/**
	 * Checks the format of the name of an item.
	 * @param key key of the item
	 * @return one violation for each rule that does not hold, empty if the item is valid
	 */
	static List<Violation> check(ItemKey key) {
		RuleChecker checker = new RuleChecker();
		checker.requireMatch(key.kind().nameField(), key.name(), NAME, NAME_RULE);
		return checker.violations;
	}

	/**
	 * A violation of a rule.
	 *
	 * @param field name of the field
	 * @param message description of the rule that the field violates
	 */
	record Violation(String field, String message) {

	}

	private static final class RuleChecker {

		private final List<Violation> violations = new ArrayList<>();

		private void require(String field, boolean condition, String message) {
			if (!condition) {
				this.violations.add(new Violation(field, message));
			}
		}

		private void requireMatch(String field, String value, Pattern pattern, String message) {
			require(field, pattern.matcher(value).matches(), message);
		}

		private void requireRange(String field, int value, int min, int max) {
			require(field, value >= min && value <= max, "must be from %d to %d".formatted(min, max));
		}

	}

}
