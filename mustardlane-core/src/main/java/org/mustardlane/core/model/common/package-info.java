/**
 * Identifiers, hashing and locks that all aggregates share.
 */
@NullMarked
package org.mustardlane.core.model.common;

import org.jspecify.annotations.NullMarked;
