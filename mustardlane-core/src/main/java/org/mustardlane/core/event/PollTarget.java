package org.mustardlane.core.event;

import org.mustardlane.core.model.catalogue.Target;

/**
 * Ask a target for its load.
 *
 * @param target the target
 */
public record PollTarget(Target target) implements NodeAction {

}
