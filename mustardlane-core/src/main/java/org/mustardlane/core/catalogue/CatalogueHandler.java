package org.mustardlane.core.catalogue;

import java.util.List;

import org.mustardlane.core.event.EventHandler;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.common.VmId;

/**
 * Folds the catalogue out of the log and publishes changes.
 */
public final class CatalogueHandler implements EventHandler {

	private final VmId self;

	/**
	 * Creates the handler.
	 * @param self this router
	 */
	public CatalogueHandler(VmId self) {
		this.self = self;
	}

	@Override
	public List<NodeAction> handle(NodeEvent event, long nowMillis) {
		return List.of();
	}

	/**
	 * Returns the newest catalogue in force on this router.
	 * @return the catalogue
	 */
	public CatalogueSnapshot snapshot() {
		return CatalogueSnapshot.EMPTY;
	}

}
