package org.mustardlane.core.model.common;

/**
 * Names an organisation.
 *
 * @param value the text of the identifier, never empty
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {

	/**
	 * Checks that the identifier has a text.
	 * @throws IllegalArgumentException if the text is empty
	 */
	public OrganisationId {
		if (value.isEmpty()) {
			throw new IllegalArgumentException("OrganisationId must not be empty");
		}
	}

	@Override
	public int compareTo(OrganisationId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
