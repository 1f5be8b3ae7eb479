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

	private static final EventLoopGroup GROUP = new MultiThreadIoEventLoopGroup(2, (task) -> {
		Thread thread = new Thread(task, "forwarder");
		thread.setDaemon(true);
		return thread;
	}, NioIoHandler.newFactory());

	private final ConnectionSources sources;

	private final Channel server;

	private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();

	private final Map<Channel, String> sourceOfNear = new ConcurrentHashMap<>();

	private final Map<String, LinkState> statesBySource = new ConcurrentHashMap<>();

	private final AtomicLong passedBytes = new AtomicLong();

	private volatile int targetPort;

	private volatile LinkState state = LinkState.OPEN;

	private volatile int delayMillis;

	/**
	 * Creates a forwarder that listens on a free local port.
	 * @param sources maps connections to failure domains
	 */
	Forwarder(ConnectionSources sources) {
		this.sources = sources;
		this.server = new ServerBootstrap().group(GROUP)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.AUTO_READ, false)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel near) {
					accept(near);
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
	void connectTo(int port) {
		this.targetPort = port;
	}

	/**
	 * Returns the number of bytes received for forwarding, in both directions together.
	 * @return the number of bytes
	 */
	public long passedBytes() {
		return this.passedBytes.get();
	}

	/**
	 * Sets the state of all connections.
	 * @param wanted the new state
	 */
	public void set(LinkState wanted) {
		this.state = wanted;
		this.pipes.forEach(this::apply);
	}

	/**
	 * Sets the state of the connections from one failure domain.
	 * @param source the failure domain of the connecting processes
	 * @param wanted the new state
	 */
	public void set(String source, LinkState wanted) {
		this.statesBySource.put(source, wanted);
		this.pipes.forEach(this::apply);
	}

	/**
	 * Returns the state of a connection. The failure domain is only looked up if a state
	 * was set for a domain, because the lookup is slow.
	 * @param near the accepted connection
	 * @return the state, where a state other than {@code OPEN} of the domain takes
	 * precedence
	 */
	private LinkState stateOf(SocketChannel near) {
		if (this.statesBySource.isEmpty()) {
			return this.state;
		}
		String source = this.sourceOfNear.computeIfAbsent(near,
				(channel) -> this.sources.domainOf(port(), near.remoteAddress().getPort()));
		LinkState wanted = this.statesBySource.getOrDefault(source, LinkState.OPEN);
		return (wanted != LinkState.OPEN) ? wanted : this.state;
	}

	private void apply(Pipe pipe) {
		LinkState wanted = stateOf(pipe.near);
		if (wanted == LinkState.RESET) {
			reset(pipe.near);
		}
		else if (wanted == LinkState.OPEN) {
			pipe.resume();
		}
	}

	/**
	 * Sets the delay of each received chunk.
	 * @param millis the delay in milliseconds
	 */
	public void delay(int millis) {
		this.delayMillis = millis;
	}

	@Override
	public void close() {
		this.server.close();
		this.pipes.forEach((pipe) -> pipe.near.close());
	}

	private void accept(SocketChannel near) {
		if (stateOf(near) == LinkState.RESET) {
			reset(near);
			return;
		}
		Bootstrap bootstrap = new Bootstrap().group(near.eventLoop())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.AUTO_READ, false)
			.handler(new Pipe(near, near));
		Channel far = bootstrap.connect("127.0.0.1", this.targetPort).addListener((connected) -> {
			if (!connected.isSuccess()) {
				reset(near);
			}
		}).channel();
		near.pipeline().addLast(new Pipe(far, near));
	}

	private static void reset(Channel channel) {
		channel.config().setOption(ChannelOption.SO_LINGER, 0);
		channel.close();
	}

	/**
	 * Forwards the bytes read from one channel to the other one.
	 */
	private final class Pipe extends ChannelInboundHandlerAdapter {

		private final Channel other;

		private final SocketChannel near;

		private volatile Optional<ChannelHandlerContext> open = Optional.empty();

		private Optional<Object> held = Optional.empty();

		Pipe(Channel other, SocketChannel near) {
			this.other = other;
			this.near = near;
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			this.open = Optional.of(context);
			Forwarder.this.pipes.add(this);
			if (this.other.isActive()) {
				context.read();
				this.other.read();
			}
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			Forwarder.this.passedBytes.addAndGet(((ByteBuf) message).readableBytes());
			int millis = Forwarder.this.delayMillis;
			if (millis == 0) {
				pass(context, message);
				return;
			}
			context.executor().schedule(() -> pass(context, message), millis, TimeUnit.MILLISECONDS);
		}

		void resume() {
			this.open.ifPresent((context) -> context.executor().execute(() -> {
				Optional<Object> message = this.held;
				this.held = Optional.empty();
				message.ifPresent((bytes) -> pass(context, bytes));
			}));
		}

		private void pass(ChannelHandlerContext context, Object message) {
			if (stateOf(this.near) == LinkState.SILENT) {
				this.held = Optional.of(message);
				return;
			}
			this.other.writeAndFlush(message).addListener((written) -> {
				if (written.isSuccess()) {
					context.read();
				}
				else {
					context.close();
				}
			});
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			Forwarder.this.pipes.remove(this);
			Forwarder.this.sourceOfNear.remove(this.near);
			this.other.close();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
