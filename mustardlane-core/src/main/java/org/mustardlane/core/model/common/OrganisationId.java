package org.mustardlane.core.model.common;

/**
 * Identifies an organisation.
 *
 * @param value the identifier, never empty
 */
public record OrganisationId(String value) implements Comparable<OrganisationId> {

	/**
	 * Rejects an empty identifier.
	 * @throws IllegalArgumentException if the value is empty
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
