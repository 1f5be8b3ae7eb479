package org.mustardlane.core.admission;

import java.util.Optional;

import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.common.VmId;

/**
 * The right of a router to use a target for one attempt.
 *
 * @param key the ask that it answers
 * @param grantId the number that the router gives back
 * @param holder the router
 * @param target the target
 * @param entry the catalogue entry, unknown where an earlier owner gave the grant
 * @param serviceMillis how long it is expected to be used, 0 where unknown
 * @param organisation the organisation
 * @param serviceClass how urgent the work is
 * @param grantedAtMillis when it was given
 * @param expiryMillis when it lapses unless it is renewed
 */
record Grant(AttemptKey key, long grantId, VmId holder, TargetId target, Optional<EntryName> entry, long serviceMillis,
		OrganisationId organisation, ServiceClass serviceClass, long grantedAtMillis, long expiryMillis) {

	Grant withExpiry(long newExpiryMillis) {
		return new Grant(this.key, this.grantId, this.holder, this.target, this.entry, this.serviceMillis,
				this.organisation, this.serviceClass, this.grantedAtMillis, newExpiryMillis);
	}

}
