package org.mustardlane.core.model.target;

import org.mustardlane.core.model.common.TargetId;

/**
 * The load that a target reports about itself. The report may be outdated by the
 * reporting lag of the target.
 *
 * @param target the target
 * @param reportedAtMillis time at which the target created the report
 * @param running number of running requests
 * @param waiting number of requests queued in the target
 * @param leaving whether the target reports that it is shutting down
 */
public record LoadReport(TargetId target, long reportedAtMillis, int running, int waiting, boolean leaving) {

}
