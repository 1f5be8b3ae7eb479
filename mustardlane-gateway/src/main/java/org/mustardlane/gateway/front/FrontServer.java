package org.mustardlane.gateway.front;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;

import org.mustardlane.core.route.RequestLimits;
import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.GuardedTask;
import org.mustardlane.gateway.wire.WireDialect;

/**
 * HTTP server that accepts the connections of callers.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
public final class FrontServer {

	private static final int ACCEPT_BACKLOG = 1024;

	private static final int LOW_WATER_BYTES = 32_768;

	private static final int HIGH_WATER_BYTES = 65_536;

	private static final int SWEEP_INTERVAL_MILLIS = 500;

	private final FrontContext context;

	private final EventLoop loop;

	private Channel serverChannel;

	/**
	 * Creates a server that does not listen yet.
	 * @param loop event loop of the daemon
	 * @param dialect reads the heads of calls
	 * @param handler handles the calls
	 * @param limits supplies the current limits for requests
	 * @param settings memory limits of the connections
	 * @param closing supplies whether connections are to be closed after the current
	 * response
	 * @param clock monotonic clock
	 * @param log log of rejected calls
	 */
	public FrontServer(EventLoop loop, WireDialect dialect, CallHandler handler, Supplier<RequestLimits> limits,
			FrontSettings settings, BooleanSupplier closing, MonotonicClock clock, DecisionLog log) {
		this.loop = loop;
		this.context = new FrontContext(dialect, handler, limits, settings, closing, clock, log);
	}

	/**
	 * Starts to listen.
	 * @param address address to bind
	 * @throws IOException if the address cannot be bound
	 */
	public void start(InetSocketAddress address) throws IOException {
		ChannelFuture bindFuture = bootstrap().bind(address).awaitUninterruptibly();
		if (!bindFuture.isSuccess()) {
			throw new IOException("Cannot listen for callers at " + address, bindFuture.cause());
		}
		this.serverChannel = bindFuture.channel();
		this.loop.scheduleAtFixedRate(new GuardedTask("timeouts", this::closeTimedOutConnections, this.context.log()),
				SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private ServerBootstrap bootstrap() {
		return new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					FrontConnection connection = new FrontConnection(FrontServer.this.context, channel);
					channel.pipeline()
						.addLast(connection.createReadTracker())
						.addLast(new StrictRequestDecoder(FrontServer.this.context.maxHeaderBytes()))
						.addLast(new HttpResponseEncoder())
						.addLast(connection);
				}
			});
	}

	private void closeTimedOutConnections() {
		List.copyOf(this.context.connections()).forEach(FrontConnection::closeIfTimedOut);
	}

	/**
	 * Returns the bound port.
	 * @return the TCP port
	 */
	public int port() {
		return ((InetSocketAddress) this.serverChannel.localAddress()).getPort();
	}

	/**
	 * Returns the number of connections that are reading or serving a call.
	 * @return the number of connections
	 */
	public int countBusyConnections() {
		Set<FrontConnection> connections = this.context.connections();
		return (int) connections.stream().filter(FrontConnection::isBusy).count();
	}

	/**
	 * Closes the connections that are not reading or serving a call.
	 */
	public void closeIdleConnections() {
		List.copyOf(this.context.connections())
			.stream()
			.filter((connection) -> !connection.isBusy())
			.forEach(FrontConnection::closeIfIdle);
	}

	/**
	 * Stops accepting connections; established connections stay open.
	 */
	public void stopListening() {
		this.serverChannel.close();
	}

}
