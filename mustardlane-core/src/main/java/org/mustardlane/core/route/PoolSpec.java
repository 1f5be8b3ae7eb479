package org.mustardlane.core.route;

import java.util.Optional;

import org.mustardlane.core.model.common.PoolId;

/**
 * A pool of targets that routes lead to.
 *
 * @param id name of the pool
 * @param maxConnections connections that each of its targets accepts from all routers
 * together, 0 where no limit is known
 * @param engine what its engines offer, empty for a pool of plain services
 */
public record PoolSpec(PoolId id, int maxConnections, Optional<EngineSpec> engine) {

}
