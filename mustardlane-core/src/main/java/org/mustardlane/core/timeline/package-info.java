/**
 * The time line: recording, merging and rendering of events in causal order.
 */
@NullMarked
package org.mustardlane.core.timeline;

import org.jspecify.annotations.NullMarked;
