package org.mustardlane.router.target;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;

/**
 * Holds back the reads of one connection, so that its buffers and in the end the target
 * fill up no further than the reader of the answer allows.
 *
 * <p>
 * The channel must not read by itself. Confined to the event loop of the connection.
 */
final class ReadGate extends ChannelDuplexHandler {

	private boolean paused;

	private boolean readHeldBack;

	@Override
	public void read(ChannelHandlerContext ctx) {
		if (this.paused) {
			this.readHeldBack = true;
			return;
		}
		ctx.read();
	}

	/**
	 * Holds reads back from now on.
	 */
	void pause() {
		this.paused = true;
	}

	/**
	 * Lets reads through again.
	 * @param ctx the place of this handler
	 */
	void resume(ChannelHandlerContext ctx) {
		this.paused = false;
		if (this.readHeldBack) {
			this.readHeldBack = false;
			ctx.read();
		}
	}

}
