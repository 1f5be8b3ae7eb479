package org.mustardlane.core.node;

import java.util.List;
import java.util.Map;

import org.mustardlane.core.event.EventHandler;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;

/**
 * The whole of a router without its input and output: turns every event that a router can
 * see into the actions to take.
 *
 * <p>
 * Thread-safe. Events that concern one request must be handed in one after another, in
 * the order in which they were seen; all others may come at once from many threads.
 */
public final class Node implements EventHandler {

	private final NodeSettings settings;

	/**
	 * Creates a node.
	 * @param settings what it is told at its start
	 */
	public Node(NodeSettings settings) {
		this.settings = settings;
	}

	@Override
	public List<NodeAction> handle(NodeEvent event, long nowMillis) {
		return List.of();
	}

	/**
	 * Returns the newest catalogue in force on this router.
	 * @return the catalogue
	 */
	public CatalogueSnapshot catalogue() {
		return CatalogueSnapshot.EMPTY;
	}

	/**
	 * Returns what the node knows of itself and of the fleet.
	 * @return the status
	 */
	public NodeStatus status() {
		return new NodeStatus(this.settings, 0, false, 0, 0, List.of(), List.of(), Map.of(), List.of());
	}

}
