/**
 * Finds the features of calls that crash targets, and refuses calls that have them.
 */
@NullMarked
package org.mustardlane.core.quarantine;

import org.jspecify.annotations.NullMarked;
