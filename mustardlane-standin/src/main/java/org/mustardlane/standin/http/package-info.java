/**
 * The HTTP server of the fakes.
 */
@NullMarked
package org.mustardlane.standin.http;

import org.jspecify.annotations.NullMarked;
