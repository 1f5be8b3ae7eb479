package org.mustardlane.core.model.common;

/**
 * Identifies a pool: a group of targets that serve the same entries.
 *
 * @param value the identifier, never empty
 */
public record PoolId(String value) implements Comparable<PoolId> {

	/**
	 * Rejects an empty identifier.
	 * @throws IllegalArgumentException if the value is empty
	 */
	public PoolId {
		if (value.isEmpty()) {
			throw new IllegalArgumentException("PoolId must not be empty");
		}
	}

	@Override
	public int compareTo(PoolId other) {
		return this.value.compareTo(other.value);
	}

	// The generated methods call method handles, which cost more than the comparison
	// itself in code that the optimizing compiler has not compiled.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof PoolId that && this.value.equals(that.value));
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
