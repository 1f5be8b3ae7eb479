package org.mustardlane.core.model.common;

/**
 * Identifies a request of a caller, unique across all routers and restarts.
 *
 * @param value the identifier, never empty
 */
public record RequestId(String value) implements Comparable<RequestId> {

	/**
	 * Rejects an empty identifier.
	 * @throws IllegalArgumentException if the value is empty
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
