package org.mustardlane.gateway.relay;

import java.util.Optional;

import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.stream.PoolVersion;

/**
 * What a router says of the response to a call that was passed on to it.
 *
 * @param own whether the router itself ended the call
 * @param target target that has sent the response, empty if the router ended the call
 * @param version pool and software version of the target, empty if the router ended the
 * call
 */
public record RelayResponse(boolean own, Optional<TargetId> target, Optional<PoolVersion> version) {

}
