package org.mustardlane.core.model.catalogue;

import org.mustardlane.core.model.common.OrganisationId;

/**
 * An organisation that may call, with its fleet-wide limits.
 *
 * @param id the name
 * @param keyDigest SHA-256 of the key of the organisation, lower-case hexadecimal
 * @param concurrencyLimit most requests in flight at once over the whole fleet
 * @param weight share within a class, relative to other organisations
 */
public record Organisation(OrganisationId id, String keyDigest, int concurrencyLimit, int weight) {

}
