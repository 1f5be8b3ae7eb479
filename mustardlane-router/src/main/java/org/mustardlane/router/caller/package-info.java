/**
 * HTTP server for callers.
 */
@NullMarked
package org.mustardlane.router.caller;

import org.jspecify.annotations.NullMarked;
