package org.mustardlane.router.worker;

import org.mustardlane.core.event.NodeAction;

/**
 * Executes the actions that the node returns.
 */
@FunctionalInterface
public interface ActionExecutor {

	/**
	 * Executes an action; must not block.
	 * @param action the action
	 */
	void execute(NodeAction action);

}
