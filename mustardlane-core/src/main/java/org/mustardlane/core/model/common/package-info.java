/**
 * Identifiers, hashing and locks that all packages of the core share.
 */
@NullMarked
package org.mustardlane.core.model.common;

import org.jspecify.annotations.NullMarked;
