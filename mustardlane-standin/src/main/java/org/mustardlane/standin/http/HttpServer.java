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
 * HTTP server whose connections and timers all run on one event loop.
 */
public final class HttpServer implements AutoCloseable {

	private static final Logger LOGGER = LogManager.getLogger(HttpServer.class);

	private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

	private static final int ACCEPT_BACKLOG = 1024;

	private static final int BAD_REQUEST = 400;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop eventLoop = this.group.next();

	/**
	 * Returns the event loop on which connections, handlers and timers run.
	 * @return the event loop
	 */
	public EventLoop eventLoop() {
		return this.eventLoop;
	}

	/**
	 * Listens on an address.
	 * @param host the IP address to bind
	 * @param port the TCP port to bind, 0 for any free port
	 * @param handler handles the requests that arrive at the address
	 * @return the port that was bound
	 */
	public int listen(String host, int port, ExchangeHandler handler) {
		Channel channel = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ConnectionInitializer(handler))
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
	 * Builds the pipeline of each accepted connection.
	 */
	private static final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

		private final ExchangeHandler handler;

		ConnectionInitializer(ExchangeHandler handler) {
			this.handler = handler;
		}

		@Override
		protected void initChannel(SocketChannel channel) {
			channel.pipeline()
				.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES),
						new RequestDispatcher(this.handler));
		}

	}

	/**
	 * Passes each complete request of a connection to the handler, and tells the latest
	 * exchange when the connection closes.
	 */
	private static final class RequestDispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final ExchangeHandler handler;

		private Optional<Exchange> latestExchange = Optional.empty();

		RequestDispatcher(ExchangeHandler handler) {
			this.handler = handler;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			Exchange exchange = new Exchange(context.channel(), request);
			this.latestExchange = Optional.of(exchange);
			try {
				this.handler.handle(exchange);
			}
			catch (IOException | IllegalArgumentException ex) {
				LOGGER.warn("rejected malformed request for {}", exchange.path(), ex);
				exchange.sendJson(BAD_REQUEST, Map.of("message", String.valueOf(ex.getMessage())));
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			this.latestExchange.ifPresent(Exchange::notifyClosed);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			LOGGER.debug("connection failed", cause);
			context.close();
		}

	}

}
