package org.mustardlane.core.model.common;

/**
 * Identifies a failure domain.
 *
 * @param value the identifier, never empty
 */
public record DomainId(String value) implements Comparable<DomainId> {

	/**
	 * Rejects an empty identifier.
	 * @throws IllegalArgumentException if the value is empty
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

	// The generated methods call method handles, which cost more than the comparison
	// itself in code that the optimizing compiler has not compiled.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof DomainId that && this.value.equals(that.value));
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

	@Override
	public String toString() {
		return this.value;
	}

}
