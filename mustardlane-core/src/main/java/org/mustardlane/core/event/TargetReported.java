package org.mustardlane.core.event;

import org.mustardlane.core.model.target.LoadReport;

/**
 * A target has replied to a poll of its load.
 *
 * @param report the load report
 */
public record TargetReported(LoadReport report) implements NodeEvent {

}
