/**
 * Claims that let a non-idempotent request run at most once.
 */
@NullMarked
package org.mustardlane.core.claim;

import org.jspecify.annotations.NullMarked;
