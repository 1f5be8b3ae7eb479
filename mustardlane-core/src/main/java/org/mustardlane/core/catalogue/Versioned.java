package org.mustardlane.core.catalogue;

/**
 * An item with a revision. In a change this is the revision that the change is based on;
 * in the catalogue it is the revision that last changed the item.
 *
 * @param <T> type of the item
 * @param item the item
 * @param revision log offset of a change, or 0 for an item that does not exist yet
 */
public record Versioned<T>(T item, long revision) {

	/**
	 * Checks the revision.
	 * @throws IllegalArgumentException if the revision is negative
	 */
	public Versioned {
		if (revision < 0) {
			throw new IllegalArgumentException("revision must not be negative");
		}
	}

}
