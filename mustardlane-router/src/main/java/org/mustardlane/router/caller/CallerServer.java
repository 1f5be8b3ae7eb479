package org.mustardlane.router.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;

import org.mustardlane.router.worker.RouterClock;

/**
 * HTTP server for callers.
 */
public final class CallerServer implements AutoCloseable {

	private static final int ACCEPT_BACKLOG = 1024;

	private static final int WRITE_LOW_WATER_BYTES = 32_768;

	private static final int WRITE_HIGH_WATER_BYTES = 65_536;

	private final CallerServices services;

	private final Channel serverChannel;

	private CallerServer(CallerServices services, Channel serverChannel) {
		this.services = services;
		this.serverChannel = serverChannel;
	}

	/**
	 * Starts a server.
	 * @param address address to listen on
	 * @param eventLoops threads that serve the connections
	 * @param listener receives the requests
	 * @param requestIdGenerator generates the ids of the requests
	 * @param limits limits of the connections
	 * @param clock supplies the arrival times of the requests
	 * @param closeAfterResponse whether connections are to be closed after the current
	 * response
	 * @return the running server
	 * @throws IOException if the server cannot listen on the address
	 */
	public static CallerServer start(InetSocketAddress address, EventLoopGroup eventLoops, CallerListener listener,
			RequestIdGenerator requestIdGenerator, CallerLimits limits, RouterClock clock,
			BooleanSupplier closeAfterResponse) throws IOException {
		CallerServices services = new CallerServices(listener, requestIdGenerator, limits, clock, closeAfterResponse,
				new OpenResponses(limits.totalBodyBytes()));
		ChannelFuture bindFuture = bootstrap(eventLoops, services).bind(address).awaitUninterruptibly();
		if (!bindFuture.isSuccess()) {
			throw new IOException("Cannot listen for callers at " + address, bindFuture.cause());
		}
		return new CallerServer(services, bindFuture.channel());
	}

	private static ServerBootstrap bootstrap(EventLoopGroup eventLoops, CallerServices services) {
		return new ServerBootstrap().group(eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(WRITE_LOW_WATER_BYTES, WRITE_HIGH_WATER_BYTES))
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					initializePipeline(channel, services);
				}
			});
	}

	private static void initializePipeline(SocketChannel channel, CallerServices services) {
		CallerLimits limits = services.limits();
		HttpDecoderConfig decoder = new HttpDecoderConfig().setMaxInitialLineLength(limits.lineBytes())
			.setMaxHeaderSize(limits.headerBytes());
		channel.pipeline()
			.addLast(new IdleStateHandler(true, limits.idleMillis(), limits.idleMillis(), 0, TimeUnit.MILLISECONDS))
			.addLast(new PartialHeadMarker())
			.addLast(new HttpServerCodec(decoder))
			.addLast(new PartialHeadMarker())
			.addLast(new CallerConnection(services));
	}

	/**
	 * Returns the port on which the server listens.
	 * @return the TCP port
	 */
	public int port() {
		return ((InetSocketAddress) this.serverChannel.localAddress()).getPort();
	}

	/**
	 * Returns the number of responses that have not been written completely.
	 * @return the number of responses
	 */
	public int openResponses() {
		return this.services.openResponses().count();
	}

	@Override
	public void close() {
		this.serverChannel.close().awaitUninterruptibly();
	}

}
