package org.mustardlane.standin.http;

import java.io.IOException;

/**
 * Answers the requests of one server, all on one thread.
 */
public interface ExchangeHandler {

	/**
	 * Handles a request; the answer may be given later.
	 * @param exchange the request and its answer
	 * @throws IOException if the request is malformed
	 */
	void handle(Exchange exchange) throws IOException;

}
