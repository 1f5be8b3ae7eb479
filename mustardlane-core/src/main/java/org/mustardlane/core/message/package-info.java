/**
 * Messages that routers exchange.
 */
@NullMarked
package org.mustardlane.core.message;

import org.jspecify.annotations.NullMarked;
