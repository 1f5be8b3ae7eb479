/**
 * The catalogue on one router: parsing, publishing and folding it out of the log.
 */
@NullMarked
package org.mustardlane.core.catalogue;

import org.jspecify.annotations.NullMarked;
