/**
 * What becomes of a request after an attempt, and how many attempts a service bears.
 */
@NullMarked
package org.mustardlane.core.retry;

import org.jspecify.annotations.NullMarked;
