package org.mustardlane.core.event;

import org.mustardlane.core.model.timeline.TimelineEvent;

/**
 * Records an event in the time line.
 *
 * @param event the event
 */
public record RecordEvent(TimelineEvent event) implements NodeAction {

}
