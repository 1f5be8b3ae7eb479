package org.mustardlane.core.event;

import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.order.EngineOrder;

/**
 * Send an order to an engine, once; answered by {@link OrderAnswered}.
 *
 * @param target the engine
 * @param fencingNumber log offset of the issuer's lease
 * @param sendBeforeMillis drop the order, as not sent, where it can not be written before
 * this time
 * @param order the order
 */
public record SendOrder(Target target, long fencingNumber, long sendBeforeMillis,
		EngineOrder order) implements NodeAction {

}
