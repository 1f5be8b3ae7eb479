package org.mustardlane.core.catalogue;

/**
 * An item with a revision: in a change the one that the change was made against, in the
 * catalogue the one that last touched the item.
 *
 * @param <T> kind of the item
 * @param item the item
 * @param revision log offset, 0 for an item that does not exist yet
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
