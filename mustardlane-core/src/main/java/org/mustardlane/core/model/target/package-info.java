/**
 * Load reports and performance measurements of targets.
 */
@NullMarked
package org.mustardlane.core.model.target;

import org.jspecify.annotations.NullMarked;
