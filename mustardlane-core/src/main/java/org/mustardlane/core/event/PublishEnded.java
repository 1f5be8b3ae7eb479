package org.mustardlane.core.event;

import org.mustardlane.core.model.catalogue.PublishResult;

/**
 * Tell the operator what became of a catalogue change.
 *
 * @param changeId the change
 * @param result what became of it
 */
public record PublishEnded(String changeId, PublishResult result) implements NodeAction {

}
