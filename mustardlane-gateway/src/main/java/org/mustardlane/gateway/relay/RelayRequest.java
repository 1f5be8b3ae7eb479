package org.mustardlane.gateway.relay;

import java.util.Optional;

import org.mustardlane.core.stream.PoolVersion;

/**
 * What a router tells another one about a call that it passes on.
 *
 * @param routesVersion version of the routes that the call was checked against
 * @param origin pool and software version that began the stream that goes on, empty if
 * any target may take the call
 */
public record RelayRequest(long routesVersion, Optional<PoolVersion> origin) {

}
