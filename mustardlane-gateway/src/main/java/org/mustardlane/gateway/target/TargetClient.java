package org.mustardlane.gateway.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.retry.ConnectionReusePolicy;
import org.mustardlane.core.route.RequestSemantics;
import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.wire.WireDialect;

/**
 * Sends calls to targets and keeps idle connections for further calls.
 *
 * <p>
 * How long an idle connection may be used again depends on the call, see
 * {@link ConnectionReusePolicy}. Confined to the event loop of the daemon.
 */
public final class TargetClient {

	/**
	 * Allows for many round trips between failure domains. A running target accepts at
	 * once, and nothing has been sent to a target that does not accept.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 150;

	private static final int MAX_HEADER_BYTES = 65_536;

	/**
	 * A target limits its connections from all routers together.
	 */
	private static final int MAX_IDLE_PER_TARGET = 4;

	private final EventLoop loop;

	private final WireDialect dialect;

	private final MonotonicClock clock;

	private final Map<TargetAddress, Deque<PooledConnection>> idleConnections = new HashMap<>();

	private final Map<PoolId, ConnectionReusePolicy> reusePolicies = new HashMap<>();

	/**
	 * Creates a client.
	 * @param loop event loop of the daemon
	 * @param dialect reads the heads of responses
	 * @param clock monotonic clock
	 */
	public TargetClient(EventLoop loop, WireDialect dialect, MonotonicClock clock) {
		this.loop = loop;
		this.dialect = dialect;
		this.clock = clock;
	}

	/**
	 * Sends a call.
	 * @param target the target
	 * @param requestId id of the call, which the response must repeat
	 * @param semantics whether the call may be executed more than once
	 * @param newConnection whether the call needs a new connection
	 * @param method method of the request
	 * @param requestSource creates the head of the request when it is sent
	 * @param body body of the request, empty for none
	 * @param listener receives the events of the call
	 * @return the call, which can be cancelled
	 */
	public TargetCall send(TargetEntry target, String requestId, RequestSemantics semantics, boolean newConnection,
			HttpMethod method, RequestSource requestSource, byte[] body, CallListener listener) {
		TargetCall call = new TargetCall(requestId, method, requestSource, body, listener, this.dialect, this.clock);
		Optional<PooledConnection> idleConnection = (newConnection || HttpMethod.HEAD.equals(method)) ? Optional.empty()
				: takeIdle(target, semantics);
		if (idleConnection.isPresent()) {
			call.assign(idleConnection.get());
			idleConnection.get().startCall(call);
		}
		else {
			connect(target, call, method);
		}
		return call;
	}

	private Optional<PooledConnection> takeIdle(TargetEntry target, RequestSemantics semantics) {
		Deque<PooledConnection> connections = this.idleConnections.getOrDefault(TargetAddress.of(target),
				new ArrayDeque<>());
		long nowMillis = this.clock.nowMillis();
		int maxIdleMillis = reusePolicy(target.pool()).maxIdleMillis(semantics, nowMillis);
		// The last one was used most recently.
		while (!connections.isEmpty() && !connections.peekLast().isOpen()) {
			connections.removeLast();
		}
		if (connections.isEmpty() || !connections.peekLast().isUsable(nowMillis, maxIdleMillis)) {
			return Optional.empty();
		}
		return Optional.of(connections.removeLast());
	}

	private ConnectionReusePolicy reusePolicy(PoolId pool) {
		return this.reusePolicies.computeIfAbsent(pool, (id) -> new ConnectionReusePolicy());
	}

	private void connect(TargetEntry target, TargetCall call, HttpMethod method) {
		PooledConnection connection = new PooledConnection(TargetAddress.of(target), call, this::keepIdle);
		call.assign(connection);
		Bootstrap bootstrap = new Bootstrap().group(this.loop)
			.channelFactory(TargetChannel::new)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(connection.createIdleGuard())
						.addLast(new HttpRequestEncoder())
						.addLast(new TargetResponseDecoder(method,
								new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES)))
						.addLast(connection);
				}
			});
		connection.attach(bootstrap.connect(target.host(), target.port()));
	}

	/**
	 * Finds out whether a target accepts a connection, which is closed at once.
	 * @param target the target
	 * @param listener is told whether the connection was established
	 */
	public void checkConnection(TargetEntry target, Consumer<Boolean> listener) {
		new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInboundHandlerAdapter())
			.connect(target.host(), target.port())
			.addListener((ChannelFuture future) -> {
				future.channel().close();
				listener.accept(future.isSuccess());
			});
	}

	private void keepIdle(PooledConnection connection) {
		Deque<PooledConnection> connections = this.idleConnections.computeIfAbsent(connection.address(),
				(address) -> new ArrayDeque<>());
		connections.addLast(connection);
		if (connections.size() > MAX_IDLE_PER_TARGET) {
			connections.removeFirst().close();
		}
	}

	/**
	 * Records that a target has dropped a connection while it was idle, and closes the
	 * other idle connections to it.
	 * @param target the target
	 */
	public void recordDroppedConnection(TargetEntry target) {
		reusePolicy(target.pool()).recordDroppedConnection(this.clock.nowMillis());
		Optional.ofNullable(this.idleConnections.remove(TargetAddress.of(target)))
			.ifPresent((connections) -> connections.forEach(PooledConnection::close));
	}

	/**
	 * Closes the connections that have been idle for too long.
	 */
	public void closeExpired() {
		closeUnusable(ConnectionReusePolicy.longestIdleMillis());
	}

	/**
	 * Closes all idle connections, because a pause of this process may have outlasted
	 * them.
	 */
	public void closeIdle() {
		closeUnusable(-1);
	}

	private void closeUnusable(int maxIdleMillis) {
		long nowMillis = this.clock.nowMillis();
		Iterator<Deque<PooledConnection>> entries = this.idleConnections.values().iterator();
		while (entries.hasNext()) {
			Deque<PooledConnection> connections = entries.next();
			connections.removeIf((connection) -> {
				boolean isUnusable = !connection.isUsable(nowMillis, maxIdleMillis);
				if (isUnusable) {
					connection.close();
				}
				return isUnusable;
			});
			if (connections.isEmpty()) {
				entries.remove();
			}
		}
	}

}
