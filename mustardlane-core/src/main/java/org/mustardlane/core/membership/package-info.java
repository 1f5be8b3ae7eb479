/**
 * Tracks which routers are alive and announces changes of ownership.
 */
@NullMarked
package org.mustardlane.core.membership;

import org.jspecify.annotations.NullMarked;
