package org.mustardlane.core.model.common;

/**
 * Identifies a catalogue entry by its name.
 *
 * @param value the identifier, never empty
 */
public record EntryName(String value) implements Comparable<EntryName> {

	/**
	 * Rejects an empty identifier.
	 * @throws IllegalArgumentException if the value is empty
	 */
	public EntryName {
		if (value.isEmpty()) {
			throw new IllegalArgumentException("EntryName must not be empty");
		}
	}

	@Override
	public int compareTo(EntryName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
