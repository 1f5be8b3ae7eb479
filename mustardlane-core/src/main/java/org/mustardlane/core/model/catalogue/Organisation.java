package org.mustardlane.core.model.catalogue;

import org.mustardlane.core.model.common.OrganisationId;

/**
 * An organisation whose callers are authorised, with its fleet-wide limits.
 *
 * @param id identifier of the organisation
 * @param keyDigest SHA-256 digest of the key of the organisation, in lower-case
 * hexadecimal
 * @param concurrencyLimit maximum number of concurrent requests across the whole fleet
 * @param weight weight of the organisation in fair queueing, relative to others in the
 * same service class
 */
public record Organisation(OrganisationId id, String keyDigest, int concurrencyLimit, int weight) {

}
