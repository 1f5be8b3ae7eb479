/**
 * HTTP server for callers.
 */
@NullMarked
package org.mustardlane.gateway.front;

import org.jspecify.annotations.NullMarked;
