/**
 * Slopes of state, messages, processor time and memory for the capacity page.
 */
@NullMarked
package org.mustardlane.proof.capacity;

import org.jspecify.annotations.NullMarked;
