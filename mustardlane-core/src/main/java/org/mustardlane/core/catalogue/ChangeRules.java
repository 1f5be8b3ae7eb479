package org.mustardlane.core.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

import org.mustardlane.core.model.catalogue.CatalogueChange;
import org.mustardlane.core.model.catalogue.Finding;

/**
 * Format rules for the id and the author of a change.
 *
 * <p>
 * Thread-safe: all methods are pure functions.
 */
final class ChangeRules {

	private static final Pattern CHANGE_ID = Pattern.compile("[!-~]{1,128}");

	private static final Pattern AUTHOR = Pattern.compile("[^\\p{Cntrl}]{1,128}");

	private static final String CHANGE_ID_PATH = "changeId";

	private ChangeRules() {
	}

	/**
	 * Checks the id and the author of a change.
	 * @param change the change
	 * @return one finding for each violated rule
	 */
	static List<Finding> check(CatalogueChange change) {
		List<Finding> findings = new ArrayList<>();
		if (!CHANGE_ID.matcher(change.changeId()).matches()) {
			findings.add(new Finding(CHANGE_ID_PATH, 0, 0, "must be 1 to 128 visible ASCII characters"));
		}
		if (!AUTHOR.matcher(change.author()).matches()) {
			findings.add(new Finding("author", 0, 0, "must be 1 to 128 characters without control characters"));
		}
		return findings;
	}

	/**
	 * Creates the finding for a change id that was used for another change before.
	 * @param row history row of the other change
	 * @return the finding
	 */
	static Finding reusedChangeId(HistoryRow row) {
		return new Finding(CHANGE_ID_PATH, 0, 0,
				"was used for another change, at revision %d by %s".formatted(row.revision(), row.author()));
	}

}
