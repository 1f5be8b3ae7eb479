package org.mustardlane.router.target;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;

/**
 * Pauses and resumes reads on one connection, so that back-pressure from the sink of the
 * response reaches the target through TCP flow control instead of filling buffers here.
 *
 * <p>
 * Requires a channel without auto-read. Must only be used on the event loop of the
 * connection.
 */
final class ReadGate extends ChannelDuplexHandler {

	private boolean paused;

	private boolean readDeferred;

	@Override
	public void read(ChannelHandlerContext ctx) {
		if (this.paused) {
			this.readDeferred = true;
			return;
		}
		ctx.read();
	}

	/**
	 * Defers reads until {@link #resume} is called.
	 */
	void pause() {
		this.paused = true;
	}

	/**
	 * Allows reads again and performs a deferred one.
	 * @param ctx context of this handler in the pipeline
	 */
	void resume(ChannelHandlerContext ctx) {
		this.paused = false;
		if (this.readDeferred) {
			this.readDeferred = false;
			ctx.read();
		}
	}

}
