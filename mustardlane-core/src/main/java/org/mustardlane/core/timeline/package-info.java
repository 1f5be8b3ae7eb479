/**
 * The time line: events of all processes in causal order.
 */
@NullMarked
package org.mustardlane.core.timeline;

import org.jspecify.annotations.NullMarked;
