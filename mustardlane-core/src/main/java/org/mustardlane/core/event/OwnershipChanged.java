package org.mustardlane.core.event;

import org.mustardlane.core.model.membership.Ownership;

/**
 * The set of live routers, as seen by this router, has changed. The membership handler
 * raises this event.
 *
 * @param ownership the owners of shards and claim partitions
 */
public record OwnershipChanged(Ownership ownership) implements NodeEvent {

}
