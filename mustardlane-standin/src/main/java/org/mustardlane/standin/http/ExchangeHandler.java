package org.mustardlane.standin.http;

import java.io.IOException;

/**
 * Handles the requests of one server. All calls are made on the thread of that server.
 */
public interface ExchangeHandler {

	/**
	 * Handles a request. The response may be sent after this method returns.
	 * @param exchange the request, and the means to respond
	 * @throws IOException if the request is malformed
	 */
	void handle(Exchange exchange) throws IOException;

}
