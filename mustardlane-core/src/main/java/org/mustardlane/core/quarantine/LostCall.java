package org.mustardlane.core.quarantine;

import java.util.ArrayList;
import java.util.List;

import org.mustardlane.core.model.common.TargetId;

/**
 * A call whose target ended the connection before the response was complete.
 *
 * @param target the target
 * @param requestId id of the call
 * @param promptParts features of the shared parts of the prompt, in order
 * @param contents features of the whole content
 * @param started whether the response had started
 * @param sentAtMillis time at which the call was sent to the target
 * @param lostAtMillis time at which the connection ended
 */
public record LostCall(TargetId target, String requestId, List<CallFeature> promptParts, List<CallFeature> contents,
		boolean started, long sentAtMillis, long lostAtMillis) {

	/**
	 * Copies the features.
	 */
	public LostCall {
		promptParts = List.copyOf(promptParts);
		contents = List.copyOf(contents);
	}

	/**
	 * Returns all features that may have crashed the target. A response that has started
	 * shows that the parts of its prompt do not.
	 * @return the features
	 */
	List<CallFeature> suspectFeatures() {
		if (this.started) {
			return this.contents;
		}
		List<CallFeature> features = new ArrayList<>(this.promptParts);
		features.addAll(this.contents);
		return features;
	}

}
