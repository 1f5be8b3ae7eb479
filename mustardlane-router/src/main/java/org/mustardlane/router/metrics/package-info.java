/**
 * Metrics, health and readiness over HTTP.
 */
@NullMarked
package org.mustardlane.router.metrics;

import org.jspecify.annotations.NullMarked;
