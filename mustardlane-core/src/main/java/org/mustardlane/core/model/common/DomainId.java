package org.mustardlane.core.model.common;

/**
 * Names a failure domain.
 *
 * @param value the text of the identifier, never empty
 */
public record DomainId(String value) implements Comparable<DomainId> {

	/**
	 * Checks that the identifier has a text.
	 * @throws IllegalArgumentException if the text is empty
	 */
	public DomainId {
		if (value.isEmpty()) {
			throw new IllegalArgumentException("DomainId must not be empty");
		}
	}

	@Override
	public int compareTo(DomainId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
