package org.mustardlane.core.event;

import org.mustardlane.core.model.common.TargetId;

/**
 * A target did not answer a poll of its load.
 *
 * @param target the target
 * @param detail what was seen
 */
public record TargetPollFailed(TargetId target, String detail) implements NodeEvent {

}
