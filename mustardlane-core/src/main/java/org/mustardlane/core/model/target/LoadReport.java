package org.mustardlane.core.model.target;

import org.mustardlane.core.model.common.TargetId;

/**
 * What a target says of its own load; late by the lag of the target.
 *
 * @param target the target
 * @param reportedAtMillis when the target made the report
 * @param running requests that run
 * @param waiting requests that wait in the target
 * @param leaving whether the target says that it is leaving
 */
public record LoadReport(TargetId target, long reportedAtMillis, int running, int waiting, boolean leaving) {

}
