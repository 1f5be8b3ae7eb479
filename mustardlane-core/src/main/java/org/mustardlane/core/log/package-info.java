/**
 * Records of the append-only log of the platform.
 */
@NullMarked
package org.mustardlane.core.log;

import org.jspecify.annotations.NullMarked;
