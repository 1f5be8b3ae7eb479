package org.mustardlane.core.event;

import org.mustardlane.core.model.order.EngineOrder;

/**
 * An order to an engine has been requested.
 *
 * @param order the order
 */
public record OrderRequested(EngineOrder order) implements NodeEvent {

}
