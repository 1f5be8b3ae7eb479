/**
 * HTTP server and JSON conversion that the fakes share.
 */
@NullMarked
package org.mustardlane.standin.http;

import org.jspecify.annotations.NullMarked;
