package org.mustardlane.core.admission;

import org.mustardlane.core.model.catalogue.ServiceClass;
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
 * @param organisation the organisation
 * @param serviceClass how urgent the work is
 * @param grantedAtMillis when it was given
 * @param expiryMillis when it lapses unless it is renewed
 */
record Grant(AskKey key, long grantId, VmId holder, TargetId target, OrganisationId organisation,
		ServiceClass serviceClass, long grantedAtMillis, long expiryMillis) {

	Grant renewedUntil(long newExpiryMillis) {
		return new Grant(this.key, this.grantId, this.holder, this.target, this.organisation, this.serviceClass,
				this.grantedAtMillis, newExpiryMillis);
	}

}
