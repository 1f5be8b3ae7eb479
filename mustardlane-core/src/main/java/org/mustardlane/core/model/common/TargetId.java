package org.mustardlane.core.model.common;

/**
 * Identifies a target: a model engine or a replica of a plain service.
 *
 * @param value the identifier, never empty
 */
public record TargetId(String value) implements Comparable<TargetId> {

	/**
	 * Rejects an empty identifier.
	 * @throws IllegalArgumentException if the value is empty
	 */
	public TargetId {
		if (value.isEmpty()) {
			throw new IllegalArgumentException("TargetId must not be empty");
		}
	}

	@Override
	public int compareTo(TargetId other) {
		return this.value.compareTo(other.value);
	}

	// The generated methods call method handles, which cost more than the comparison
	// itself in code that the optimizing compiler has not compiled.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof TargetId that && this.value.equals(that.value));
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
