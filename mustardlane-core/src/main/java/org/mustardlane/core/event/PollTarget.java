package org.mustardlane.core.event;

import org.mustardlane.core.catalogue.Target;

/**
 * Ask a target for its load.
 *
 * @param target the target
 */
public record PollTarget(Target target) implements NodeAction {

}
