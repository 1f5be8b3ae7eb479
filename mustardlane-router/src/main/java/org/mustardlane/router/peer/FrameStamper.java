package org.mustardlane.router.peer;

import org.mustardlane.core.model.common.VmId;

/**
 * Supplies the sender and the hybrid time of outgoing frames and observes the hybrid time
 * of incoming frames.
 */
public interface FrameStamper {

	/**
	 * Returns the sender of outgoing frames.
	 * @return the VM of this router
	 */
	VmId self();

	/**
	 * Returns the hybrid time of an outgoing frame.
	 * @return a hybrid time greater than all that were returned before
	 */
	long nextHybridTime();

	/**
	 * Advances the clock past the hybrid time of an incoming frame unless that lies too
	 * far ahead.
	 * @param hybridTime hybrid time that the sender set on the frame
	 */
	void observe(long hybridTime);

}
