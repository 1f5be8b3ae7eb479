package org.mustardlane.core.model.common;

/**
 * Names a target: a model engine or a replica of a plain service.
 *
 * @param value the text of the identifier, never empty
 */
public record TargetId(String value) implements Comparable<TargetId> {

	/**
	 * Checks that the identifier has a text.
	 * @throws IllegalArgumentException if the text is empty
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
