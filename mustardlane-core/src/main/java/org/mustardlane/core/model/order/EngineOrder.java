package org.mustardlane.core.model.order;

import org.mustardlane.core.model.common.TargetId;

/**
 * An order to one engine.
 *
 * @param decisionId identifier of the decision, never reused
 * @param target the engine
 * @param kind kind of the order
 * @param subject subject of the order, such as the name of a model
 * @param value the desired value
 */
public record EngineOrder(String decisionId, TargetId target, OrderKind kind, String subject, String value) {

	/**
	 * Tells whether a later order replaces this one.
	 * @param later the later order
	 * @return true if both orders have the same target, kind and subject
	 */
	public boolean isSupersededBy(EngineOrder later) {
		return this.target.equals(later.target) && this.kind == later.kind && this.subject.equals(later.subject);
	}

}
