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
 * Listens for gRPC calls of routers or operators.
 */
public final class GrpcServer implements AutoCloseable {

	private static final int MOST_MESSAGE_BYTES = 16 * 1024 * 1024;

	private static final int LEAST_KEEP_ALIVE_MILLIS = 5000;

	private final Server server;

	private GrpcServer(Server server) {
		this.server = server;
	}

	/**
	 * Starts to listen.
	 * @param address where
	 * @param identity the files of this router, empty for plain text
	 * @param loops threads of the connections
	 * @param service answers the calls
	 * @return the server
	 * @throws IOException if the address can not be used or a file can not be read
	 */
	public static GrpcServer start(InetSocketAddress address, Optional<TlsIdentity> identity, EventLoopGroup loops,
			BindableService service) throws IOException {
		Server server = NettyServerBuilder.forAddress(address, TlsIdentity.server(identity))
			.bossEventLoopGroup(loops)
			.workerEventLoopGroup(loops)
			.channelType(NioServerSocketChannel.class)
			.directExecutor()
			.maxInboundMessageSize(MOST_MESSAGE_BYTES)
			.permitKeepAliveTime(LEAST_KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS)
			.permitKeepAliveWithoutCalls(true)
			.addService(service)
			.build()
			.start();
		return new GrpcServer(server);
	}

	/**
	 * Returns the port that is listened on.
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
