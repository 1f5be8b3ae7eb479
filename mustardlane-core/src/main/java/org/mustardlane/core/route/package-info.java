/**
 * Which service a request goes to, for whom and within which limits.
 */
@NullMarked
package org.mustardlane.core.route;

import org.jspecify.annotations.NullMarked;
