package org.mustardlane.core.route;

import java.util.OptionalInt;

import org.mustardlane.core.model.common.OrganisationId;

/**
 * An organisation whose keys calls carry.
 *
 * @param id name of the organisation
 * @param priority priority of its requests, which overrides that of the route; empty if
 * the organisation has none of its own
 */
public record Organisation(OrganisationId id, OptionalInt priority) {

}
