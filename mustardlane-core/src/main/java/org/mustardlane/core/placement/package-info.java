/**
 * Chooses the target of a request from the loads of the targets and the prompt prefixes
 * that engines have cached.
 */
@NullMarked
package org.mustardlane.core.placement;

import org.jspecify.annotations.NullMarked;
