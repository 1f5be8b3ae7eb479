package org.mustardlane.core.model.membership;

import java.util.List;

/**
 * The VM list of the platform. The list lags behind the actual state, so it names
 * candidates rather than live VMs.
 *
 * @param version increases with each change
 * @param entries the listed VMs
 */
public record VmList(long version, List<VmEntry> entries) {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public VmList {
		entries = List.copyOf(entries);
	}

}
