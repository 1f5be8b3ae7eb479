package org.mustardlane.router.worker;

import org.mustardlane.core.event.NodeAction;

/**
 * Carries out actions of the node.
 */
@FunctionalInterface
public interface ActionExecutor {

	/**
	 * Carries an action out; must not block.
	 * @param action the action
	 */
	void execute(NodeAction action);

}
