/**
 * Judges the health of targets by their responses and limits the load on unhealthy ones.
 */
@NullMarked
package org.mustardlane.core.target;

import org.jspecify.annotations.NullMarked;
