/**
 * The health of targets, as their answers show it.
 */
@NullMarked
package org.mustardlane.core.target;

import org.jspecify.annotations.NullMarked;
