package org.mustardlane.core.model.common;

/**
 * Names one request of a caller; unique over all routers and restarts.
 *
 * @param value the text of the identifier, never empty
 */
public record RequestId(String value) implements Comparable<RequestId> {

	/**
	 * Checks that the identifier has a text.
	 * @throws IllegalArgumentException if the text is empty
	 */
	public RequestId {
		if (value.isEmpty()) {
			throw new IllegalArgumentException("RequestId must not be empty");
		}
	}

	@Override
	public int compareTo(RequestId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
