/**
 * Liveness of VMs and ownership of shards and claim partitions.
 */
@NullMarked
package org.mustardlane.core.model.membership;

import org.jspecify.annotations.NullMarked;
