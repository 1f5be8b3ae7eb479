package org.mustardlane.core.message;

import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.TargetId;

/**
 * A grant that a router still uses.
 *
 * @param grantId identifier of the grant
 * @param target the target
 * @param requestId identifier of the request
 * @param attempt number of the attempt within the request, starting at 1
 * @param organisation the organisation
 * @param serviceClass service class of the request
 */
public record HeldGrant(long grantId, TargetId target, RequestId requestId, int attempt, OrganisationId organisation,
		ServiceClass serviceClass) {

}
