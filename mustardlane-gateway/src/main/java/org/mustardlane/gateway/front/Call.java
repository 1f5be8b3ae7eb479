package org.mustardlane.gateway.front;

import io.netty.handler.codec.http.HttpRequest;

import org.mustardlane.gateway.wire.CallHead;

/**
 * A call as it arrived whole.
 *
 * @param request the head with all headers
 * @param head what the head says
 * @param body the body
 * @param arrivedAtMillis when the head arrived
 */
public record Call(HttpRequest request, CallHead head, byte[] body, long arrivedAtMillis) {

}
