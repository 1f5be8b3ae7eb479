package org.mustardlane.core.execution;

import java.util.ArrayList;
import java.util.List;

import org.mustardlane.core.event.NodeAction;

/**
 * Concatenates lists of actions.
 */
final class Actions {

	private Actions() {
	}

	@SafeVarargs
	static List<NodeAction> concat(List<? extends NodeAction>... parts) {
		List<NodeAction> joined = new ArrayList<>();
		for (List<? extends NodeAction> part : parts) {
			joined.addAll(part);
		}
		return joined;
	}

}
