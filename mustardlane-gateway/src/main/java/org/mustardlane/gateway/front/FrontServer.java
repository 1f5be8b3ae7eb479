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
import org.mustardlane.gateway.knowledge.SteadyClock;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.wire.WireDialect;

/**
 * Listens for callers.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
public final class FrontServer {

	private static final int BACKLOG = 1024;

	private static final int LOW_WATER_BYTES = 32_768;

	private static final int HIGH_WATER_BYTES = 65_536;

	private static final int SWEEP_MILLIS = 500;

	private final FrontServices services;

	private final EventLoop loop;

	private Channel listener;

	/**
	 * Creates a server that does not listen yet.
	 * @param loop event loop of the daemon
	 * @param dialect reads the heads of calls
	 * @param handler takes the calls
	 * @param limits what callers may send now
	 * @param settings what connections may use
	 * @param closing whether connections are to be closed after the present answer
	 * @param clock the time
	 * @param log is told of broken protocol
	 */
	public FrontServer(EventLoop loop, WireDialect dialect, CallHandler handler, Supplier<RequestLimits> limits,
			FrontSettings settings, BooleanSupplier closing, SteadyClock clock, DecisionLog log) {
		this.loop = loop;
		this.services = new FrontServices(dialect, handler, limits, settings, closing, clock, log);
	}

	/**
	 * Starts to listen.
	 * @param address where
	 * @throws IOException if the address can not be used
	 */
	public void start(InetSocketAddress address) throws IOException {
		ChannelFuture bound = bootstrap().bind(address).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("Can not listen for callers at " + address, bound.cause());
		}
		this.listener = bound.channel();
		this.loop.scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
	}

	private ServerBootstrap bootstrap() {
		return new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					FrontConnection connection = new FrontConnection(FrontServer.this.services, channel);
					channel.pipeline()
						.addLast(connection.byteWatch())
						.addLast(new StrictRequestDecoder(FrontServer.this.services.headerBytes()))
						.addLast(new HttpResponseEncoder())
						.addLast(connection);
				}
			});
	}

	private void sweep() {
		List.copyOf(this.services.connections()).forEach(FrontConnection::closeIfOverdue);
	}

	/**
	 * Returns the port that is listened on.
	 * @return the TCP port
	 */
	public int port() {
		return ((InetSocketAddress) this.listener.localAddress()).getPort();
	}

	/**
	 * Counts the connections that read or answer a call.
	 * @return the number
	 */
	public int busyConnections() {
		Set<FrontConnection> all = this.services.connections();
		return (int) all.stream().filter(FrontConnection::isBusy).count();
	}

	/**
	 * Closes the connections that wait for a call.
	 */
	public void closeIdleConnections() {
		List.copyOf(this.services.connections())
			.stream()
			.filter((connection) -> !connection.isBusy())
			.forEach(FrontConnection::closeIdle);
	}

	/**
	 * Stops to listen; connections stay.
	 */
	public void stopListening() {
		this.listener.close();
	}

}
