/**
 * One call from its head to its outcome.
 */
@NullMarked
package org.mustardlane.gateway.exchange;

import org.jspecify.annotations.NullMarked;
