package org.mustardlane.core.model.common;

/**
 * Identifies a VM, usually one that runs a router.
 *
 * @param value the identifier, never empty
 */
public record VmId(String value) implements Comparable<VmId> {

	/**
	 * Rejects an empty identifier.
	 * @throws IllegalArgumentException if the value is empty
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

	// The generated methods call method handles, which cost more than the comparison
	// itself in code that the optimizing compiler has not compiled.
	@Override
	public boolean equals(Object other) {
		return this == other || (other instanceof VmId that && this.value.equals(that.value));
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

}
