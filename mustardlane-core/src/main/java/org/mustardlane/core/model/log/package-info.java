/**
 * Streams and records of the append-only log of the platform.
 */
@NullMarked
package org.mustardlane.core.model.log;

import org.jspecify.annotations.NullMarked;
