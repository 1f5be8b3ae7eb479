package org.mustardlane.core.model.common;

/**
 * Names a pool: the targets among which an entry may choose.
 *
 * @param value the text of the identifier, never empty
 */
public record PoolId(String value) implements Comparable<PoolId> {

	/**
	 * Checks that the identifier has a text.
	 * @throws IllegalArgumentException if the text is empty
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
