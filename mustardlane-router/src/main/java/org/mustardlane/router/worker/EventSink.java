package org.mustardlane.router.worker;

import org.mustardlane.core.event.NodeEvent;

/**
 * Accepts events for the node.
 */
@FunctionalInterface
public interface EventSink {

	/**
	 * Submits an event and returns before the node has handled it.
	 * @param event the event
	 */
	void submit(NodeEvent event);

}
