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
 * Listens for callers.
 */
public final class CallerServer implements AutoCloseable {

	private static final int BACKLOG = 1024;

	private static final int LOW_WATER_BYTES = 32_768;

	private static final int HIGH_WATER_BYTES = 65_536;

	private final CallerServices services;

	private final Channel listener;

	private CallerServer(CallerServices services, Channel listener) {
		this.services = services;
		this.listener = listener;
	}

	/**
	 * Starts to listen.
	 * @param address where
	 * @param loops threads of the connections
	 * @param listener takes the requests
	 * @param requestIds names the requests
	 * @param limits what one connection may use
	 * @param clock the time
	 * @param closing whether connections are to be closed after the present response
	 * @return the server
	 * @throws IOException if the address can not be used
	 */
	public static CallerServer start(InetSocketAddress address, EventLoopGroup loops, CallerListener listener,
			RequestIds requestIds, CallerLimits limits, RouterClock clock, BooleanSupplier closing) throws IOException {
		CallerServices services = new CallerServices(listener, requestIds, limits, clock, closing,
				new OpenResponses(limits.allBodiesBytes()));
		ChannelFuture bound = bootstrap(loops, services).bind(address).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("Can not listen for callers at " + address, bound.cause());
		}
		return new CallerServer(services, bound.channel());
	}

	private static ServerBootstrap bootstrap(EventLoopGroup loops, CallerServices services) {
		return new ServerBootstrap().group(loops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					initialize(channel, services);
				}
			});
	}

	private static void initialize(SocketChannel channel, CallerServices services) {
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
	 * Returns the port that is listened on.
	 * @return the TCP port
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/**
	 * Returns how many responses have not been written to their end.
	 * @return the number
	 */
	public int openResponses() {
		return this.services.open().count();
	}

	@Override
	public void close() {
		this.listener.close().awaitUninterruptibly();
	}

}
