package org.mustardlane.core.event;

import java.util.List;

/**
 * A component of the node that turns events into actions.
 *
 * <p>
 * A handler never reads a clock, opens a socket, starts a thread or logs: time and random
 * numbers come as arguments or at construction. The same events, times and seed produce
 * the same actions. Implementations are thread-safe: each has one lock, which is not held
 * while another handler runs.
 */
public interface EventHandler {

	/**
	 * Handles an event.
	 * @param event the event; a handler ignores the types that it does not support
	 * @param nowMillis the current time by the clock of this VM
	 * @return the actions to carry out, in order
	 */
	List<NodeAction> handle(NodeEvent event, long nowMillis);

}
