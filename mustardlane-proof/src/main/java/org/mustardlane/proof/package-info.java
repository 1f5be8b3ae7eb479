/**
 * Proofs and measuring runs over real processes.
 */
@NullMarked
package org.mustardlane.proof;

import org.jspecify.annotations.NullMarked;
