package org.mustardlane.core.model.order;

import org.mustardlane.core.model.common.TargetId;

/**
 * A decision about one engine.
 *
 * @param decisionId names the decision; unique for good
 * @param target the engine
 * @param kind what the engine is told
 * @param subject what the order is about, such as the name of a model
 * @param value the desired value
 */
public record EngineOrder(String decisionId, TargetId target, OrderKind kind, String subject, String value) {

	/**
	 * Returns whether a later order makes this one pointless.
	 * @param later the later order
	 * @return whether both set the same thing
	 */
	public boolean isSupersededBy(EngineOrder later) {
		return this.target.equals(later.target) && this.kind == later.kind && this.subject.equals(later.subject);
	}

}
