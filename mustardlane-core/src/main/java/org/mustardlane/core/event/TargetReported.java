package org.mustardlane.core.event;

import org.mustardlane.core.model.target.LoadReport;

/**
 * A target has answered a poll of its load.
 *
 * @param report the report
 */
public record TargetReported(LoadReport report) implements NodeEvent {

}
