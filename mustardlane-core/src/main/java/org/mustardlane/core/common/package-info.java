/**
 * Identifiers, hashing and locks that all aggregates share.
 */
@NullMarked
package org.mustardlane.core.common;

import org.jspecify.annotations.NullMarked;
