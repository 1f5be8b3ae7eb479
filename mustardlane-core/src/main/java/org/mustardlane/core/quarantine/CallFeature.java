package org.mustardlane.core.quarantine;

import org.mustardlane.core.model.common.PromptPartId;

/**
 * Something that calls have in common: a part of their prompts, or their whole content.
 *
 * @param value the identifier, never empty, the same on all routers
 */
public record CallFeature(String value) implements Comparable<CallFeature> {

	/**
	 * Identifiers of prompt parts contain no colon.
	 */
	private static final String CONTENT_PREFIX = "content:";

	/**
	 * Rejects an empty identifier.
	 * @throws IllegalArgumentException if the value is empty
	 */
	public CallFeature {
		if (value.isEmpty()) {
			throw new IllegalArgumentException("CallFeature must not be empty");
		}
	}

	/**
	 * Returns the feature that all calls with a part in their prompt share.
	 * @param part the part
	 * @return the feature
	 */
	public static CallFeature ofPromptPart(PromptPartId part) {
		return new CallFeature(part.value());
	}

	/**
	 * Returns the feature that all calls with the same content share.
	 * @param contentHash hash of all that makes two calls the same for a target
	 * @return the feature
	 */
	public static CallFeature ofContent(long contentHash) {
		return new CallFeature(CONTENT_PREFIX + Long.toHexString(contentHash));
	}

	/**
	 * Returns whether this is a feature of the whole content.
	 * @return false for a part of a prompt
	 */
	public boolean isContent() {
		return this.value.startsWith(CONTENT_PREFIX);
	}

	@Override
	public int compareTo(CallFeature other) {
		return this.value.compareTo(other.value);
	}

	// Like those of TargetId, not generated: the generated ones call method handles.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof CallFeature that && this.value.equals(that.value));
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
