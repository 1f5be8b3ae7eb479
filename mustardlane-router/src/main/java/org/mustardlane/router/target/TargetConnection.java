package org.mustardlane.router.target;

import java.util.Optional;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;

/**
 * The connection that an attempt uses, once it has one.
 *
 * <p>
 * Thread-safe: all work is done on the event loop of the connection.
 */
final class TargetConnection {

	private volatile Optional<Channel> channel = Optional.empty();

	/**
	 * Takes the connection.
	 * @param connection the connection
	 */
	void attach(Channel connection) {
		this.channel = Optional.of(connection);
	}

	/**
	 * Stops reading.
	 */
	void pause() {
		this.channel.ifPresent((connection) -> onLoop(connection, () -> gate(connection).ifPresent(ReadGate::pause)));
	}

	/**
	 * Reads on.
	 */
	void resume() {
		this.channel.ifPresent((connection) -> onLoop(connection, () -> {
			ChannelHandlerContext context = connection.pipeline().context(ReadGate.class);
			if (context != null) {
				((ReadGate) context.handler()).resume(context);
			}
		}));
	}

	/**
	 * Reads on and lets the connection be used for other requests, which a later close no
	 * longer concerns.
	 */
	synchronized void release() {
		resume();
		this.channel = Optional.empty();
	}

	/**
	 * Closes the connection.
	 */
	synchronized void close() {
		this.channel.ifPresent(Channel::close);
	}

	private static Optional<ReadGate> gate(Channel connection) {
		return Optional.ofNullable(connection.pipeline().get(ReadGate.class));
	}

	private static void onLoop(Channel connection, Runnable task) {
		if (connection.eventLoop().inEventLoop()) {
			task.run();
		}
		else {
			connection.eventLoop().execute(task);
		}
	}

}
