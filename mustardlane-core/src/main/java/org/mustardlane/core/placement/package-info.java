/**
 * Which target a request is sent to.
 */
@NullMarked
package org.mustardlane.core.placement;

import org.jspecify.annotations.NullMarked;
