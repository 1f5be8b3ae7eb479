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

	@Override
	public String toString() {
		return this.value;
	}

}
