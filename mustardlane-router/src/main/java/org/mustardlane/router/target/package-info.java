/**
 * HTTP client for engines and plain services.
 */
@NullMarked
package org.mustardlane.router.target;

import org.jspecify.annotations.NullMarked;
