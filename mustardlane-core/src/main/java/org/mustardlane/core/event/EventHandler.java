package org.mustardlane.core.event;

import java.util.List;

/**
 * A part of the node that turns events into actions.
 *
 * <p>
 * A handler never reads a clock, opens a socket, starts a thread or logs: time and random
 * numbers come as arguments or at construction. The same events, times and seed give the
 * same actions. Implementations are thread-safe by one lock each, which is not held while
 * another handler runs.
 */
public interface EventHandler {

	/**
	 * Takes an event.
	 * @param event what was seen; a handler ignores the kinds that do not concern it
	 * @param nowMillis the time by the clock of this VM
	 * @return what is to be done, in order
	 */
	List<NodeAction> handle(NodeEvent event, long nowMillis);

}
