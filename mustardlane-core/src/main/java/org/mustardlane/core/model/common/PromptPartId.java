package org.mustardlane.core.model.common;

/**
 * Identifies a part of a prompt, for example a document that many requests share.
 *
 * @param value the identifier, never empty
 */
public record PromptPartId(String value) implements Comparable<PromptPartId> {

	/**
	 * Rejects an empty identifier.
	 * @throws IllegalArgumentException if the value is empty
	 */
	public PromptPartId {
		if (value.isEmpty()) {
			throw new IllegalArgumentException("PromptPartId must not be empty");
		}
	}

	@Override
	public int compareTo(PromptPartId other) {
		return this.value.compareTo(other.value);
	}

	// Like those of TargetId, not generated: the generated ones call method handles.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof PromptPartId that && this.value.equals(that.value));
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
