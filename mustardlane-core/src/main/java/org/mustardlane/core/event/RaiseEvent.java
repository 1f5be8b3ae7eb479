package org.mustardlane.core.event;

/**
 * Passes an event to all handlers of the same node. The node executes this action itself.
 *
 * @param event the event
 */
public record RaiseEvent(NodeEvent event) implements NodeAction {

}
