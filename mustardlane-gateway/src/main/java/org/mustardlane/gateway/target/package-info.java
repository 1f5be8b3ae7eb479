/**
 * HTTP client for calls to targets.
 */
@NullMarked
package org.mustardlane.gateway.target;

import org.jspecify.annotations.NullMarked;
