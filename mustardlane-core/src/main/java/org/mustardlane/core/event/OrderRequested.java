package org.mustardlane.core.event;

import org.mustardlane.core.model.order.EngineOrder;

/**
 * Something has decided that an engine is to be given an order.
 *
 * @param order the order
 */
public record OrderRequested(EngineOrder order) implements NodeEvent {

}
