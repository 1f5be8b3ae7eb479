package org.mustardlane.gateway.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.OptionalInt;

import org.mustardlane.gateway.front.FrontServer;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;

/**
 * Listens for the calls that other routers pass on.
 *
 * <p>
 * Thread-safe.
 */
public final class RelayServer {

	/**
	 * What routers add to the headers of a call that they pass on.
	 */
	public static final int ADDED_HEADER_BYTES = 2048;

	private final FrontServer server;

	private final DecisionLog log;

	/**
	 * Creates a server that does not listen yet.
	 * @param server server of the calls
	 * @param log log of decisions
	 */
	public RelayServer(FrontServer server, DecisionLog log) {
		this.server = server;
		this.log = log;
	}

	/**
	 * Starts to listen. If the address cannot be bound, the router only takes no calls
	 * over.
	 * @param address address to bind
	 * @return the bound port, or empty if the address cannot be bound
	 */
	public OptionalInt start(InetSocketAddress address) {
		try {
			this.server.start(address);
			return OptionalInt.of(this.server.port());
		}
		catch (IOException ex) {
			this.log.warn(LogEvent.UNEXPECTED_ERROR, "task", "relay server", "reason", ex);
			return OptionalInt.empty();
		}
	}

}
