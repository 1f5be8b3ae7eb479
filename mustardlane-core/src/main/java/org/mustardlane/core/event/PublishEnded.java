package org.mustardlane.core.event;

import org.mustardlane.core.model.catalogue.PublishResult;

/**
 * Returns the result of a catalogue change to the operator.
 *
 * @param changeId identifier of the change
 * @param result result of the change
 */
public record PublishEnded(String changeId, PublishResult result) implements NodeAction {

}
