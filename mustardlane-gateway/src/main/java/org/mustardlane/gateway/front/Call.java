package org.mustardlane.gateway.front;

import io.netty.handler.codec.http.HttpRequest;

import org.mustardlane.gateway.wire.CallHead;

/**
 * A call whose body has arrived completely.
 *
 * @param request the HTTP request with all headers
 * @param head parsed head of the call
 * @param body body of the call
 * @param arrivedAtMillis time at which the head arrived
 */
public record Call(HttpRequest request, CallHead head, byte[] body, long arrivedAtMillis) {

}
