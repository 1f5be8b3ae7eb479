/**
 * Events of all processes in causal order.
 */
@NullMarked
package org.mustardlane.core.model.timeline;

import org.jspecify.annotations.NullMarked;
