package org.mustardlane.core.event;

import org.mustardlane.core.model.catalogue.Target;

/**
 * Polls the load of a target.
 *
 * @param target the target
 */
public record PollTarget(Target target) implements NodeAction {

}
