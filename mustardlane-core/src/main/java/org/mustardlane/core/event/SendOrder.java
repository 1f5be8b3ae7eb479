package org.mustardlane.core.event;

import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.order.EngineOrder;

/**
 * Sends an order to an engine once. An {@link OrderEnded} event reports the result.
 *
 * @param target the engine
 * @param fencingNumber log offset of the issuer's lease, used as the fencing number
 * @param sendBeforeMillis deadline for writing the order; an order that is not written by
 * then is dropped with the result {@code NOT_SENT}
 * @param order the order
 */
public record SendOrder(Target target, long fencingNumber, long sendBeforeMillis,
		EngineOrder order) implements NodeAction {

}
