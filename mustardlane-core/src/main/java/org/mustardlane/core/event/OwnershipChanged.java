package org.mustardlane.core.event;

import org.mustardlane.core.model.membership.Ownership;

/**
 * The set of live routers, as this router sees it, has changed; raised by the membership
 * aggregate itself.
 *
 * @param ownership who owns what
 */
public record OwnershipChanged(Ownership ownership) implements NodeEvent {

}
