package org.mustardlane.router.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;

/**
 * gRPC server for other routers or for operators.
 */
public final class GrpcServer implements AutoCloseable {

	private static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

	private static final int MIN_KEEP_ALIVE_MILLIS = 5000;

	private final Server server;

	private GrpcServer(Server server) {
		this.server = server;
	}

	/**
	 * Starts a server.
	 * @param address the address to listen on
	 * @param identity the TLS files of this router, empty for plain text
	 * @param eventLoops event loops of the connections
	 * @param service the service to offer
	 * @return the running server
	 * @throws IOException if the address is unavailable or a TLS file cannot be read
	 */
	public static GrpcServer start(InetSocketAddress address, Optional<TlsIdentity> identity, EventLoopGroup eventLoops,
			BindableService service) throws IOException {
		Server server = NettyServerBuilder.forAddress(address, TlsIdentity.serverCredentials(identity))
			.bossEventLoopGroup(eventLoops)
			.workerEventLoopGroup(eventLoops)
			.channelType(NioServerSocketChannel.class)
			.directExecutor()
			.maxInboundMessageSize(MAX_MESSAGE_BYTES)
			.permitKeepAliveTime(MIN_KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS)
			.permitKeepAliveWithoutCalls(true)
			.addService(service)
			.build()
			.start();
		return new GrpcServer(server);
	}

	/**
	 * Returns the port on which the server listens.
	 * @return the TCP port
	 */
	public int port() {
		return this.server.getPort();
	}

	@Override
	public void close() {
		this.server.shutdownNow();
	}

}
