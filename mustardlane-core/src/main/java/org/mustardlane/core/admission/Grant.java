package org.mustardlane.core.admission;

import java.util.Optional;

import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;

/**
 * Permits a router to use one slot of a target for one attempt.
 *
 * @param key the attempt that the grant is for
 * @param grantId the ID that the router sends back when it releases the grant
 * @param holder the router that holds the grant
 * @param target the target
 * @param entry the catalogue entry; empty if an earlier owner issued the grant
 * @param serviceMillis expected time in the slot in milliseconds, 0 if unknown
 * @param organisation the organisation
 * @param serviceClass the service class of the request
 * @param grantedAtMillis time at which the grant was issued or adopted
 * @param expiryMillis time at which the grant expires unless it is renewed
 */
record Grant(AttemptKey key, long grantId, VmId holder, TargetId target, Optional<EntryName> entry, long serviceMillis,
		OrganisationId organisation, ServiceClass serviceClass, long grantedAtMillis, long expiryMillis) {

	Grant withExpiry(long newExpiryMillis) {
		return new Grant(this.key, this.grantId, this.holder, this.target, this.entry, this.serviceMillis,
				this.organisation, this.serviceClass, this.grantedAtMillis, newExpiryMillis);
	}

}
