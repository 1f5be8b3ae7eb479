package org.mustardlane.core.quarantine;

import java.util.List;

import org.mustardlane.core.model.common.TargetId;

/**
 * A response that a target has started or completed without crashing.
 *
 * @param target the target
 * @param features the features that did not crash the target: the parts of the prompt
 * once the response has started, the content once it is complete
 * @param startedAtMillis time from which the target is known to have survived
 */
public record StartedResponse(TargetId target, List<CallFeature> features, long startedAtMillis) {

	/**
	 * Copies the features.
	 */
	public StartedResponse {
		features = List.copyOf(features);
	}

}
