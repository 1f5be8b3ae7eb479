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
 * Serves metrics, health and readiness.
 */
public final class HealthServer implements AutoCloseable {

	private static final int MOST_REQUEST_BYTES = 4096;

	private final Channel listener;

	private HealthServer(Channel listener) {
		this.listener = listener;
	}

	/**
	 * Starts to listen.
	 * @param address where
	 * @param loops threads of the connections
	 * @param readyPath path under which readiness is asked for
	 * @param metrics writes the metrics
	 * @param ready whether callers are to be sent here
	 * @return the server
	 * @throws IOException if the address can not be used
	 */
	public static HealthServer start(InetSocketAddress address, EventLoopGroup loops, String readyPath,
			Supplier<String> metrics, BooleanSupplier ready) throws IOException {
		ChannelFuture bound = new ServerBootstrap().group(loops)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpServerCodec())
						.addLast(new HttpObjectAggregator(MOST_REQUEST_BYTES))
						.addLast(new Handler(readyPath, metrics, ready));
				}
			})
			.bind(address)
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("Can not listen for metrics at " + address, bound.cause());
		}
		return new HealthServer(bound.channel());
	}

	/**
	 * Returns the port that is listened on.
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
	 * Answers one connection.
	 */
	private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final String readyPath;

		private final Supplier<String> metrics;

		private final BooleanSupplier ready;

		Handler(String readyPath, Supplier<String> metrics, BooleanSupplier ready) {
			this.readyPath = readyPath;
			this.metrics = metrics;
			this.ready = ready;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
			ctx.writeAndFlush(answer(request.uri())).addListener(ChannelFutureListener.CLOSE);
		}

		private FullHttpResponse answer(String path) {
			if (path.equals(this.readyPath)) {
				return this.ready.getAsBoolean() ? text(HttpResponseStatus.OK, "ready\n")
						: text(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
			}
			return switch (path) {
				case "/metrics" -> text(HttpResponseStatus.OK, this.metrics.get());
				case "/healthz" -> text(HttpResponseStatus.OK, "alive\n");
				default -> text(HttpResponseStatus.NOT_FOUND, "not found\n");
			};
		}

		private static FullHttpResponse text(HttpResponseStatus status, String text) {
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
					Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
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
