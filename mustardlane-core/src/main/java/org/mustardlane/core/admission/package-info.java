/**
 * Grants of target capacity: the owner of a shard, its queues and its load bound.
 */
@NullMarked
package org.mustardlane.core.admission;

import org.jspecify.annotations.NullMarked;
