/**
 * Decides whether a failed attempt is retried, and limits the number of retries.
 */
@NullMarked
package org.mustardlane.core.retry;

import org.jspecify.annotations.NullMarked;
