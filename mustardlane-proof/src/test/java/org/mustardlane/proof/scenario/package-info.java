/**
 * The steps of the scenarios.
 */
@NullMarked
package org.mustardlane.proof.scenario;

import org.jspecify.annotations.NullMarked;
