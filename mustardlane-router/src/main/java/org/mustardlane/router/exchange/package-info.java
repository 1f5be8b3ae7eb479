/**
 * Requests in flight and the actions that belong to them.
 */
@NullMarked
package org.mustardlane.router.exchange;

import org.jspecify.annotations.NullMarked;
