package org.mustardlane.core.event;

/**
 * Hand an event to the other handlers of the same node; carried out by the node itself.
 *
 * @param event the event
 */
public record RaiseEvent(NodeEvent event) implements NodeAction {

}
