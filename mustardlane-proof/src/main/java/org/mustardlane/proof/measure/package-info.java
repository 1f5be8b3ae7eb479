/**
 * Measures the decisions of the routers under load, beside a naive way.
 */
@NullMarked
package org.mustardlane.proof.measure;

import org.jspecify.annotations.NullMarked;
