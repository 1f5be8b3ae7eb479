package org.mustardlane.router.worker;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.mustardlane.core.event.NodeAction;

/**
 * Dispatches each action to the consumer that is registered for the class of the action.
 *
 * <p>
 * Thread-safe.
 */
public final class ActionTable implements ActionExecutor {

	private static final Logger logger = LogManager.getLogger(ActionTable.class);

	private final Map<Class<? extends NodeAction>, Consumer<NodeAction>> consumers = new ConcurrentHashMap<>();

	/**
	 * Registers the consumer of one class of actions and replaces an earlier one.
	 * @param <T> class of the actions
	 * @param actionClass class of the actions
	 * @param consumer executes the actions of this class; must not block
	 * @return this table
	 */
	public <T extends NodeAction> ActionTable on(Class<T> actionClass, Consumer<T> consumer) {
		this.consumers.put(actionClass, (action) -> consumer.accept(actionClass.cast(action)));
		return this;
	}

	@Override
	public void execute(NodeAction action) {
		Consumer<NodeAction> consumer = this.consumers.get(action.getClass());
		if (consumer == null) {
			logger.error("No consumer is registered for action {}", action.getClass().getSimpleName());
			return;
		}
		consumer.accept(action);
	}

}
