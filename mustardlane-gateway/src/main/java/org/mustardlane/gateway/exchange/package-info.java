/**
 * Handling of one call, from the arrival of its head to its final outcome.
 */
@NullMarked
package org.mustardlane.gateway.exchange;

import org.jspecify.annotations.NullMarked;
