package org.mustardlane.core.model.membership;

import java.util.List;

/**
 * The VM list of the platform; it lags, so it gives candidates and no certainty.
 *
 * @param version grows with each change
 * @param entries the VMs
 */
public record VmList(long version, List<VmEntry> entries) {

	/**
	 * Copies the collections, so that the record is immutable.
	 */
	public VmList {
		entries = List.copyOf(entries);
	}

}
