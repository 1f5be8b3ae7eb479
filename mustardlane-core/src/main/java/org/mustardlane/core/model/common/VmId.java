package org.mustardlane.core.model.common;

/**
 * Names a VM that runs a router.
 *
 * @param value the text of the identifier, never empty
 */
public record VmId(String value) implements Comparable<VmId> {

	/**
	 * Checks that the identifier has a text.
	 * @throws IllegalArgumentException if the text is empty
	 */
	public VmId {
		if (value.isEmpty()) {
			throw new IllegalArgumentException("VmId must not be empty");
		}
	}

	@Override
	public int compareTo(VmId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
