/**
 * Admission control: shard owners grant, queue, redirect and refuse requests for slots of
 * targets.
 */
@NullMarked
package org.mustardlane.core.admission;

import org.jspecify.annotations.NullMarked;
