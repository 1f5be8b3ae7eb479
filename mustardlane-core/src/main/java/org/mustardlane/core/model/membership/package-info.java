/**
 * Which VMs live and which of them owns a shard or a partition.
 */
@NullMarked
package org.mustardlane.core.model.membership;

import org.jspecify.annotations.NullMarked;
