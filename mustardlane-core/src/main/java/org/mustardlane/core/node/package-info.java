/**
 * The facade that turns events into actions.
 */
@NullMarked
package org.mustardlane.core.node;

import org.jspecify.annotations.NullMarked;
