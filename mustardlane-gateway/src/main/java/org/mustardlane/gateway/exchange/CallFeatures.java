package org.mustardlane.gateway.exchange;

import java.util.ArrayList;
import java.util.List;

import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.quarantine.CallFeature;
import org.mustardlane.gateway.front.Call;

/**
 * The features of a call that may crash the targets that run it.
 *
 * @param promptParts features of the shared parts of its prompt, in order
 * @param contents features of its whole content: one without its prompt, and one with it
 * if it has one
 */
record CallFeatures(List<CallFeature> promptParts, List<CallFeature> contents) {

	/**
	 * Copies the lists.
	 */
	CallFeatures {
		promptParts = List.copyOf(promptParts);
		contents = List.copyOf(contents);
	}

	/**
	 * Computes the features of a call.
	 * @param call the call
	 * @return the features
	 */
	static CallFeatures of(Call call) {
		List<CallFeature> promptParts = call.head().sharedParts().stream().map(CallFeature::ofPromptPart).toList();
		long contentHash = RendezvousHash.score(RendezvousHash.hash(describe(call)), RendezvousHash.hash(call.body()));
		List<CallFeature> contents = new ArrayList<>();
		contents.add(CallFeature.ofContent(contentHash));
		call.head()
			.prefix()
			.ifPresent(
					(prefix) -> contents.add(CallFeature.ofContent(RendezvousHash.score(contentHash, prefix.hash()))));
		return new CallFeatures(promptParts, contents);
	}

	private static String describe(Call call) {
		return String.join("\n", call.request().method().name(), call.head().host(), call.request().uri(),
				call.head().apiKey().orElse(""));
	}

	/**
	 * Returns all features.
	 * @return the features of prompt parts, then those of the content
	 */
	List<CallFeature> all() {
		List<CallFeature> features = new ArrayList<>(this.promptParts);
		features.addAll(this.contents);
		return features;
	}

}
