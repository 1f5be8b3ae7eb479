package org.mustardlane.router.metrics;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;

/**
 * HTTP server for metrics and for the liveness and readiness probes.
 */
public final class HealthServer implements AutoCloseable {

	private static final int MAX_REQUEST_BYTES = 4096;

	private final Channel listener;

	private HealthServer(Channel listener) {
		this.listener = listener;
	}

	/**
	 * Starts a server.
	 * @param address the address to listen on
	 * @param eventLoops event loops of the connections
	 * @param readyPath path of the readiness probe
	 * @param metricsText supplies the metrics in the Prometheus text format
	 * @param isReady tells whether callers may be sent to this process
	 * @return the running server
	 * @throws IOException if the address is unavailable
	 */
	public static HealthServer start(InetSocketAddress address, EventLoopGroup eventLoops, String readyPath,
			Supplier<String> metricsText, BooleanSupplier isReady) throws IOException {
		ChannelFuture bindFuture = new ServerBootstrap().group(eventLoops)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpServerCodec())
						.addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
						.addLast(new ProbeHandler(readyPath, metricsText, isReady));
				}
			})
			.bind(address)
			.awaitUninterruptibly();
		if (!bindFuture.isSuccess()) {
			throw new IOException("Cannot listen for metrics at " + address, bindFuture.cause());
		}
		return new HealthServer(bindFuture.channel());
	}

	/**
	 * Returns the port on which the server listens.
	 * @return the TCP port
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	@Override
	public void close() {
		this.listener.close().awaitUninterruptibly();
	}

	/**
	 * Responds to one request and closes its connection.
	 */
	private static final class ProbeHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final String readyPath;

		private final Supplier<String> metricsText;

		private final BooleanSupplier isReady;

		ProbeHandler(String readyPath, Supplier<String> metricsText, BooleanSupplier isReady) {
			this.readyPath = readyPath;
			this.metricsText = metricsText;
			this.isReady = isReady;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
			ctx.writeAndFlush(responseTo(request.uri())).addListener(ChannelFutureListener.CLOSE);
		}

		private FullHttpResponse responseTo(String path) {
			if (path.equals(this.readyPath)) {
				return this.isReady.getAsBoolean() ? textResponse(HttpResponseStatus.OK, "ready\n")
						: textResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
			}
			return switch (path) {
				case "/metrics" -> textResponse(HttpResponseStatus.OK, this.metricsText.get());
				case "/healthz" -> textResponse(HttpResponseStatus.OK, "alive\n");
				default -> textResponse(HttpResponseStatus.NOT_FOUND, "not found\n");
			};
		}

		private static FullHttpResponse textResponse(HttpResponseStatus status, String body) {
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
					Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
			response.headers()
				.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
				.set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
				.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			return response;
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			ctx.close();
		}

	}

}
