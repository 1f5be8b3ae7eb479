package org.mustardlane.core.message;

import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.TargetId;

/**
 * A grant that a router still uses.
 *
 * @param grantId the grant
 * @param target the target
 * @param requestId the request
 * @param attempt number of the attempt
 * @param organisation the organisation
 * @param serviceClass how urgent the work is
 */
public record HeldGrant(long grantId, TargetId target, RequestId requestId, int attempt, OrganisationId organisation,
		ServiceClass serviceClass) {

}
