package org.mustardlane.standin.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A server whose connections and timers all run on one thread.
 */
public final class HttpServer implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(HttpServer.class);

	private static final int BODY_LIMIT_BYTES = 16 * 1024 * 1024;

	private static final int BACKLOG = 1024;

	private static final int BAD_REQUEST = 400;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	/**
	 * Returns the thread of the server, on which timers run as well.
	 * @return the event loop
	 */
	public EventLoop loop() {
		return this.loop;
	}

	/**
	 * Begins to listen.
	 * @param host the IP address
	 * @param port the TCP port, 0 for a free one
	 * @param handler what answers the requests
	 * @return the port
	 */
	public int listen(String host, int port, ExchangeHandler handler) {
		Channel channel = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new Initializer(handler))
			.bind(host, port)
			.syncUninterruptibly()
			.channel();
		return ((InetSocketAddress) channel.localAddress()).getPort();
	}

	@Override
	public void close() {
		this.group.shutdownGracefully();
	}

	/**
	 * Sets up each connection.
	 */
	private static final class Initializer extends ChannelInitializer<SocketChannel> {

		private final ExchangeHandler handler;

		Initializer(ExchangeHandler handler) {
			this.handler = handler;
		}

		@Override
		protected void initChannel(SocketChannel channel) {
			channel.pipeline()
				.addLast(new HttpServerCodec(), new HttpObjectAggregator(BODY_LIMIT_BYTES),
						new RequestReader(this.handler));
		}

	}

	/**
	 * Hands whole requests to the handler.
	 */
	private static final class RequestReader extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final ExchangeHandler handler;

		private Optional<Exchange> current = Optional.empty();

		RequestReader(ExchangeHandler handler) {
			this.handler = handler;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			Exchange exchange = new Exchange(context.channel(), request);
			this.current = Optional.of(exchange);
			try {
				this.handler.handle(exchange);
			}
			catch (IOException | IllegalArgumentException ex) {
				LOGGER.warn("bad request {}", exchange.path(), ex);
				exchange.sendJson(BAD_REQUEST, Map.of("message", String.valueOf(ex.getMessage())));
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			this.current.ifPresent(Exchange::connectionClosed);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			LOGGER.debug("connection failed", cause);
			context.close();
		}

	}

}
