package org.mustardlane.core.event;

import org.mustardlane.core.model.order.OrderResult;

/**
 * An order to an engine has ended, whether or not the engine replied.
 *
 * @param decisionId identifier of the decision behind the order
 * @param fencingNumber the fencing number that was sent with the order
 * @param result result of the order
 */
public record OrderEnded(String decisionId, long fencingNumber, OrderResult result) implements NodeEvent {

}
