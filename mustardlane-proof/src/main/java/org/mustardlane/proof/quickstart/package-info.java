/**
 * Demonstration of a small fleet.
 */
@NullMarked
package org.mustardlane.proof.quickstart;

import org.jspecify.annotations.NullMarked;
