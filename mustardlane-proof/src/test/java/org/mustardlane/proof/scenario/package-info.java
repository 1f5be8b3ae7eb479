/**
 * Step definitions of the Cucumber scenarios.
 */
@NullMarked
package org.mustardlane.proof.scenario;

import org.jspecify.annotations.NullMarked;
