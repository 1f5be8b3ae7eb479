package org.mustardlane.router.worker;

import org.mustardlane.core.event.NodeEvent;

/**
 * Takes events for the node.
 */
@FunctionalInterface
public interface EventSink {

	/**
	 * Hands an event over; returns before it is handled.
	 * @param event what was seen
	 */
	void submit(NodeEvent event);

}
