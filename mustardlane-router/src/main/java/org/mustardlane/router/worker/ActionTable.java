package org.mustardlane.router.worker;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.mustardlane.core.event.NodeAction;

/**
 * Selects what carries out an action by its kind.
 *
 * <p>
 * Thread-safe.
 */
public final class ActionTable implements ActionExecutor {

	private static final Logger logger = LogManager.getLogger(ActionTable.class);

	private final Map<Class<? extends NodeAction>, Consumer<NodeAction>> consumers = new ConcurrentHashMap<>();

	/**
	 * Registers what carries out one kind of action.
	 * @param <T> the kind
	 * @param kind the kind
	 * @param consumer what carries it out
	 * @return this table
	 */
	public <T extends NodeAction> ActionTable on(Class<T> kind, Consumer<T> consumer) {
		this.consumers.put(kind, (action) -> consumer.accept(kind.cast(action)));
		return this;
	}

	@Override
	public void execute(NodeAction action) {
		Consumer<NodeAction> consumer = this.consumers.get(action.getClass());
		if (consumer == null) {
			logger.error("No executor for {}", action.getClass().getSimpleName());
			return;
		}
		consumer.accept(action);
	}

}
