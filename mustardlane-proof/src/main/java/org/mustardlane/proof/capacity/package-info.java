/**
 * Measurements of messages, processor time and memory for capacity planning.
 */
@NullMarked
package org.mustardlane.proof.capacity;

import org.jspecify.annotations.NullMarked;
