package org.mustardlane.core.quarantine;

import java.util.Collection;
import java.util.Set;

import org.mustardlane.core.model.common.PromptPartId;

/**
 * A rule to refuse all calls whose prompts contain certain parts.
 *
 * @param parts the parts, all of which a prompt must contain to be refused; never empty
 * @param endUnixMillis time at which the rule ends. Processes that were started later
 * must understand it, so it is a time of the wall clock.
 */
public record Quarantine(Set<PromptPartId> parts, long endUnixMillis) {

	/**
	 * Copies the parts.
	 * @throws IllegalArgumentException if there are no parts
	 */
	public Quarantine {
		parts = Set.copyOf(parts);
		if (parts.isEmpty()) {
			throw new IllegalArgumentException("a quarantine needs at least one part");
		}
	}

	/**
	 * Returns whether the rule applies to a prompt.
	 * @param promptParts the shared parts of the prompt
	 * @return true if the prompt contains all parts of the rule
	 */
	public boolean matches(Collection<PromptPartId> promptParts) {
		return promptParts.containsAll(this.parts);
	}

}
