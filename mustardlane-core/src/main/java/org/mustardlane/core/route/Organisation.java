package org.mustardlane.core.route;

import java.util.OptionalInt;

import org.mustardlane.core.model.common.OrganisationId;

/**
 * An organisation as far as requests are concerned.
 *
 * @param id name of the organisation
 * @param priority rank of its requests, which goes before that of the route; empty where
 * it has none of its own
 */
public record Organisation(OrganisationId id, OptionalInt priority) {

}
