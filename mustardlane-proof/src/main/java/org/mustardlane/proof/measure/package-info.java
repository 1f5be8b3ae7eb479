/**
 * Measures the routing under load in comparison with naive routing.
 */
@NullMarked
package org.mustardlane.proof.measure;

import org.jspecify.annotations.NullMarked;
