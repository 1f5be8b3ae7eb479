/**
 * Logging and metrics of the daemon.
 */
@NullMarked
package org.mustardlane.gateway.report;

import org.jspecify.annotations.NullMarked;
