package org.mustardlane.router.peer;

import org.mustardlane.core.model.common.VmId;

/**
 * Marks outgoing frames with the sender and its hybrid time, and learns from incoming
 * ones.
 */
public interface FrameStamp {

	/**
	 * Returns the sender.
	 * @return this router
	 */
	VmId self();

	/**
	 * Returns the hybrid time of an outgoing frame.
	 * @return the hybrid time
	 */
	long next();

	/**
	 * Learns the hybrid time of an incoming frame.
	 * @param hybridTime the hybrid time of its sender
	 */
	void observe(long hybridTime);

}
