package org.mustardlane.router.peer;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.grpc.ChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Opens gRPC channels to other routers.
 */
public final class PeerDialer {

	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	private static final int KEEP_ALIVE_MILLIS = 10_000;

	private static final int KEEP_ALIVE_TIMEOUT_MILLIS = 3000;

	private static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

	private final ChannelCredentials credentials;

	private final EventLoopGroup eventLoops;

	/**
	 * Creates the dialer.
	 * @param identity the TLS files of this router, empty for plain text
	 * @param eventLoops event loops of the connections
	 * @throws IOException if a TLS file cannot be read
	 */
	public PeerDialer(Optional<TlsIdentity> identity, EventLoopGroup eventLoops) throws IOException {
		this.credentials = TlsIdentity.clientCredentials(identity);
		this.eventLoops = eventLoops;
	}

	/**
	 * Opens a channel.
	 * @param address address of the other router
	 * @return the channel, which connects on first use
	 */
	public ManagedChannel dial(PeerAddress address) {
		return NettyChannelBuilder.forAddress(address.host(), address.port(), this.credentials)
			.eventLoopGroup(this.eventLoops)
			.channelType(NioSocketChannel.class)
			.directExecutor()
			.disableRetry()
			.withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.keepAliveTime(KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS)
			.keepAliveTimeout(KEEP_ALIVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.maxInboundMessageSize(MAX_MESSAGE_BYTES)
			.build();
	}

}
