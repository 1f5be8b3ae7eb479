package org.mustardlane.router.target;

import java.util.Optional;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;

/**
 * Holds the connection of an attempt once it exists. Without a connection, all operations
 * do nothing.
 *
 * <p>
 * Thread-safe: reads are paused and resumed on the event loop of the connection.
 */
final class TargetConnection {

	private volatile Optional<Channel> channel = Optional.empty();

	/**
	 * Sets the connection.
	 * @param connection the connection
	 */
	void attach(Channel connection) {
		this.channel = Optional.of(connection);
	}

	/**
	 * Pauses reads.
	 */
	void pause() {
		this.channel.ifPresent(
				(connection) -> runOnEventLoop(connection, () -> readGate(connection).ifPresent(ReadGate::pause)));
	}

	/**
	 * Resumes reads.
	 */
	void resume() {
		this.channel.ifPresent((connection) -> runOnEventLoop(connection, () -> {
			ChannelHandlerContext context = connection.pipeline().context(ReadGate.class);
			if (context != null) {
				((ReadGate) context.handler()).resume(context);
			}
		}));
	}

	/**
	 * Resumes reads and detaches the connection, which may then serve other requests. A
	 * later {@link #close()} does not affect it.
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

	private static Optional<ReadGate> readGate(Channel connection) {
		return Optional.ofNullable(connection.pipeline().get(ReadGate.class));
	}

	private static void runOnEventLoop(Channel connection, Runnable task) {
		if (connection.eventLoop().inEventLoop()) {
			task.run();
		}
		else {
			connection.eventLoop().execute(task);
		}
	}

}
