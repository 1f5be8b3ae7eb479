package org.mustardlane.core.route;

import java.util.Optional;

import org.mustardlane.core.model.common.PoolId;

/**
 * A pool of targets that routes send requests to.
 *
 * @param id name of the pool
 * @param maxConnections maximum number of connections that each target accepts from all
 * routers together, 0 if unknown
 * @param engine capabilities of the engines, empty for a pool of plain services
 */
public record PoolSpec(PoolId id, int maxConnections, Optional<EngineSpec> engine) {

}
