/**
 * Shows a small fleet at work.
 */
@NullMarked
package org.mustardlane.proof.quickstart;

import org.jspecify.annotations.NullMarked;
