package org.mustardlane.proof.fleet;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * TCP proxy for one port that can reset, stall or delay connections. Thread-safe.
 */
public final class Forwarder implements AutoCloseable {

	private static final EventLoopGroup EVENT_LOOPS = new MultiThreadIoEventLoopGroup(2, (task) -> {
		Thread thread = new Thread(task, "forwarder");
		thread.setDaemon(true);
		return thread;
	}, NioIoHandler.newFactory());

	private final ConnectionSources connectionSources;

	private final Channel server;

	private final Set<Relay> relays = ConcurrentHashMap.newKeySet();

	private final Map<Channel, String> domainsByClient = new ConcurrentHashMap<>();

	private final Map<String, LinkState> statesByDomain = new ConcurrentHashMap<>();

	private final AtomicLong forwardedBytes = new AtomicLong();

	private volatile int targetPort;

	private volatile LinkState state = LinkState.OPEN;

	private volatile int delayMillis;

	/**
	 * Creates a forwarder that listens on a free local port.
	 * @param connectionSources maps connections to failure domains
	 */
	Forwarder(ConnectionSources connectionSources) {
		this.connectionSources = connectionSources;
		this.server = new ServerBootstrap().group(EVENT_LOOPS)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.AUTO_READ, false)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel client) {
					acceptConnection(client);
				}
			})
			.bind("127.0.0.1", 0)
			.syncUninterruptibly()
			.channel();
	}

	/**
	 * Returns the port on which the forwarder listens.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.server.localAddress()).getPort();
	}

	/**
	 * Sets the port to which new connections are forwarded.
	 * @param port the target port
	 */
	void setTargetPort(int port) {
		this.targetPort = port;
	}

	/**
	 * Returns the number of bytes received for forwarding, in both directions together.
	 * @return the number of bytes
	 */
	public long forwardedBytes() {
		return this.forwardedBytes.get();
	}

	/**
	 * Sets the state of all connections.
	 * @param linkState the new state
	 */
	public void setState(LinkState linkState) {
		this.state = linkState;
		this.relays.forEach(this::applyState);
	}

	/**
	 * Sets the state of the connections from one failure domain.
	 * @param domain the failure domain of the connecting processes
	 * @param linkState the new state
	 */
	public void setState(String domain, LinkState linkState) {
		this.statesByDomain.put(domain, linkState);
		this.relays.forEach(this::applyState);
	}

	/**
	 * Returns the state of a connection. The failure domain is only looked up if a state
	 * was set for a domain, because the lookup is slow.
	 * @param client the accepted connection
	 * @return the state of the domain if it is not {@code OPEN}, otherwise the state of
	 * the forwarder
	 */
	private LinkState effectiveState(SocketChannel client) {
		if (this.statesByDomain.isEmpty()) {
			return this.state;
		}
		String domain = this.domainsByClient.computeIfAbsent(client,
				(channel) -> this.connectionSources.domainOf(port(), client.remoteAddress().getPort()));
		LinkState linkState = this.statesByDomain.getOrDefault(domain, LinkState.OPEN);
		return (linkState != LinkState.OPEN) ? linkState : this.state;
	}

	private void applyState(Relay relay) {
		LinkState linkState = effectiveState(relay.client);
		if (linkState == LinkState.RESET) {
			reset(relay.client);
		}
		else if (linkState == LinkState.OPEN) {
			relay.forwardHeldMessage();
		}
	}

	/**
	 * Sets the delay of each received chunk.
	 * @param millis the delay in milliseconds
	 */
	public void setDelayMillis(int millis) {
		this.delayMillis = millis;
	}

	@Override
	public void close() {
		this.server.close();
		this.relays.forEach((relay) -> relay.client.close());
	}

	private void acceptConnection(SocketChannel client) {
		if (effectiveState(client) == LinkState.RESET) {
			reset(client);
			return;
		}
		Bootstrap bootstrap = new Bootstrap().group(client.eventLoop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.AUTO_READ, false)
			.handler(new Relay(client, client));
		Channel upstream = bootstrap.connect("127.0.0.1", this.targetPort).addListener((connectFuture) -> {
			if (!connectFuture.isSuccess()) {
				reset(client);
			}
		}).channel();
		client.pipeline().addLast(new Relay(upstream, client));
	}

	private static void reset(Channel channel) {
		channel.config().setOption(ChannelOption.SO_LINGER, 0);
		channel.close();
	}

	/**
	 * Forwards the bytes read from one channel to the other one.
	 */
	private final class Relay extends ChannelInboundHandlerAdapter {

		private final Channel other;

		private final SocketChannel client;

		private volatile Optional<ChannelHandlerContext> openContext = Optional.empty();

		private Optional<Object> heldMessage = Optional.empty();

		Relay(Channel other, SocketChannel client) {
			this.other = other;
			this.client = client;
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			this.openContext = Optional.of(context);
			Forwarder.this.relays.add(this);
			if (this.other.isActive()) {
				context.read();
				this.other.read();
			}
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			Forwarder.this.forwardedBytes.addAndGet(((ByteBuf) message).readableBytes());
			int millis = Forwarder.this.delayMillis;
			if (millis == 0) {
				forward(context, message);
				return;
			}
			context.executor().schedule(() -> forward(context, message), millis, TimeUnit.MILLISECONDS);
		}

		void forwardHeldMessage() {
			this.openContext.ifPresent((context) -> context.executor().execute(() -> {
				Optional<Object> message = this.heldMessage;
				this.heldMessage = Optional.empty();
				message.ifPresent((bytes) -> forward(context, bytes));
			}));
		}

		private void forward(ChannelHandlerContext context, Object message) {
			if (effectiveState(this.client) == LinkState.SILENT) {
				this.heldMessage = Optional.of(message);
				return;
			}
			this.other.writeAndFlush(message).addListener((writeFuture) -> {
				if (writeFuture.isSuccess()) {
					context.read();
				}
				else {
					context.close();
				}
			});
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			Forwarder.this.relays.remove(this);
			Forwarder.this.domainsByClient.remove(this.client);
			this.other.close();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
