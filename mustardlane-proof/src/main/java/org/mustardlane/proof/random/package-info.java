/**
 * Load and fault injection for the scenarios with random faults.
 */
@NullMarked
package org.mustardlane.proof.random;

import org.jspecify.annotations.NullMarked;
