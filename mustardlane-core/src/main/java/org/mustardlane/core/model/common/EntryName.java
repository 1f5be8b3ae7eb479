package org.mustardlane.core.model.common;

/**
 * Names a catalogue entry.
 *
 * @param value the text of the identifier, never empty
 */
public record EntryName(String value) implements Comparable<EntryName> {

	/**
	 * Checks that the identifier has a text.
	 * @throws IllegalArgumentException if the text is empty
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
