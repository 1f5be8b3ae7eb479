package org.mustardlane.core.event;

import org.mustardlane.core.model.common.TargetId;

/**
 * A poll of the load of a target has failed.
 *
 * @param target the target
 * @param detail description of the failure
 */
public record TargetPollFailed(TargetId target, String detail) implements NodeEvent {

}
