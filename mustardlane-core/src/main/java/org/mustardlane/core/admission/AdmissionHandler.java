package org.mustardlane.core.admission;

import java.util.List;

import org.mustardlane.core.event.EventHandler;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.NodeEvent;
import org.mustardlane.core.model.common.VmId;

/**
 * Grants the capacity of the shards that this router owns.
 */
public final class AdmissionHandler implements EventHandler {

	private final VmId self;

	private final long incarnationMillis;

	/**
	 * Creates the handler.
	 * @param self this router
	 * @param incarnationMillis start time of this process in milliseconds
	 */
	public AdmissionHandler(VmId self, long incarnationMillis) {
		this.self = self;
		this.incarnationMillis = incarnationMillis;
	}

	@Override
	public List<NodeAction> handle(NodeEvent event, long nowMillis) {
		return List.of();
	}

}
