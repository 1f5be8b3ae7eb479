package org.mustardlane.gateway;

import io.netty.channel.EventLoopGroup;

import org.mustardlane.gateway.knowledge.RecordLog;
import org.mustardlane.gateway.wire.RecordDecoder;
import org.mustardlane.gateway.wire.WireDialect;

/**
 * Connects the daemon to one platform: its HTTP headers, its record formats and its log.
 */
public interface GatewayAdapter {

	/**
	 * Returns the reader and writer of the platform's HTTP headers.
	 * @return the dialect
	 */
	WireDialect dialect();

	/**
	 * Returns the decoder of the records in the platform's log.
	 * @return the decoder
	 */
	RecordDecoder decoder();

	/**
	 * Opens a client of the platform's log.
	 * @param loops event loops that serve the connections of the client
	 * @return the log
	 */
	RecordLog openLog(EventLoopGroup loops);

}
