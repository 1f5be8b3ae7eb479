package org.mustardlane.core.stream;

import org.mustardlane.core.model.common.PoolId;

/**
 * A software version that targets of a pool have. A stream goes on only at targets of the
 * pool and version that began it.
 *
 * @param pool pool of the targets
 * @param softwareVersion version of their software; versions have no order
 */
public record PoolVersion(PoolId pool, String softwareVersion) {

}
