/**
 * Starts and stops the processes of a fleet and injects faults.
 */
@NullMarked
package org.mustardlane.proof.fleet;

import org.jspecify.annotations.NullMarked;
