package org.mustardlane.gateway;

import io.netty.channel.EventLoopGroup;

import org.mustardlane.gateway.knowledge.RecordLog;
import org.mustardlane.gateway.wire.KnowledgeDecoder;
import org.mustardlane.gateway.wire.WireDialect;

/**
 * What the daemon needs of a platform: its names, formats and calls.
 */
public interface GatewayAdapter {

	/**
	 * Returns how headers are read and written.
	 * @return the dialect
	 */
	WireDialect dialect();

	/**
	 * Returns how records are decoded.
	 * @return the decoder
	 */
	KnowledgeDecoder decoder();

	/**
	 * Opens the log of the platform.
	 * @param loops threads of the connections
	 * @return the log
	 */
	RecordLog openLog(EventLoopGroup loops);

}
