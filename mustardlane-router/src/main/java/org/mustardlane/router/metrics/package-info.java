/**
 * Metrics, and the HTTP server for metrics and health probes.
 */
@NullMarked
package org.mustardlane.router.metrics;

import org.jspecify.annotations.NullMarked;
