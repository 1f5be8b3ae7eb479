package org.mustardlane.core.event;

import org.mustardlane.core.model.timeline.TimelineEvent;

/**
 * Put an event on the time line.
 *
 * @param event the event
 */
public record RecordEvent(TimelineEvent event) implements NodeAction {

}
