package org.mustardlane.core.event;

import org.mustardlane.core.model.order.OrderResult;

/**
 * An order to an engine has ended.
 *
 * @param decisionId the decision
 * @param fencingNumber the number that was sent with the order
 * @param result what became of it
 */
public record OrderAnswered(String decisionId, long fencingNumber, OrderResult result) implements NodeEvent {

}
