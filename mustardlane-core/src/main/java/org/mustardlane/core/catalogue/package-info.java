/**
 * The catalogue on one router: parses and publishes changes, and builds the catalogue
 * from the log.
 */
@NullMarked
package org.mustardlane.core.catalogue;

import org.jspecify.annotations.NullMarked;
