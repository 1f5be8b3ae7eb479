/**
 * Passes the response to a request on from its target to the sinks that receive it.
 */
@NullMarked
package org.mustardlane.router.answer;

import org.jspecify.annotations.NullMarked;
