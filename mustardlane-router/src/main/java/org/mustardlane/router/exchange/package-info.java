/**
 * Requests in flight and the actions that concern them.
 */
@NullMarked
package org.mustardlane.router.exchange;

import org.jspecify.annotations.NullMarked;
