package org.mustardlane.core.placement;

import java.util.List;

import org.mustardlane.core.model.common.PromptPartId;

/**
 * The part of a prompt that other requests share.
 *
 * @param hash hash of the prefix, equal on all routers
 * @param tokens length of the prefix in tokens, which an engine has to prefill unless
 * they are cached
 * @param parts the parts of the prefix in order
 */
public record SharedPrefix(long hash, int tokens, List<PromptPartId> parts) {

	/**
	 * Copies the list.
	 */
	public SharedPrefix {
		parts = List.copyOf(parts);
	}

}
