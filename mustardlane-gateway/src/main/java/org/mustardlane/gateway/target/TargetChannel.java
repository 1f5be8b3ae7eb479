package org.mustardlane.gateway.target;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A channel to a target that remembers whether the target has ended its side of the
 * connection in the regular way.
 *
 * <p>
 * A channel becomes inactive in the same way after a regular end and after a write that
 * failed because the target has reset the connection. Only a regular end completes a
 * response that has no length. Confined to the event loop of the daemon.
 */
final class TargetChannel extends NioSocketChannel {

	private boolean endOfInputRead;

	/**
	 * Creates a channel that is not connected.
	 */
	TargetChannel() {
		super();
	}

	@Override
	protected int doReadBytes(ByteBuf buffer) throws Exception {
		int bytes = super.doReadBytes(buffer);
		if (bytes < 0) {
			this.endOfInputRead = true;
		}
		return bytes;
	}

	/**
	 * Returns whether a read has returned the end of the input.
	 * @return false after a reset, a failed write, or a close by this process
	 */
	boolean isEndOfInputRead() {
		return this.endOfInputRead;
	}

}
