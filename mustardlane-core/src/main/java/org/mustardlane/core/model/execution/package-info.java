/**
 * Requests of callers, their attempts and their outcomes.
 */
@NullMarked
package org.mustardlane.core.model.execution;

import org.jspecify.annotations.NullMarked;
