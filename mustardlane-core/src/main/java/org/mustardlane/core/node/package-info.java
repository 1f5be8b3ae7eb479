/**
 * The facade of the core, which turns events into actions.
 */
@NullMarked
package org.mustardlane.core.node;

import org.jspecify.annotations.NullMarked;
