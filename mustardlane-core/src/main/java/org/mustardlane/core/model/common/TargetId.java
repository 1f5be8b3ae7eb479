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

	@Override
	public String toString() {
		return this.value;
	}

}
