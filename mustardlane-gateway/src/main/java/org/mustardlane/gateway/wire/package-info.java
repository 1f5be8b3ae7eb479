/**
 * Platform-independent types for the contents of HTTP headers, bodies and log records,
 * which platform adapters read and write.
 */
@NullMarked
package org.mustardlane.gateway.wire;

import org.jspecify.annotations.NullMarked;
