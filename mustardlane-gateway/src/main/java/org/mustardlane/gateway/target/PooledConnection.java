package org.mustardlane.gateway.target;

import java.util.Optional;
import java.util.function.Consumer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * A connection to a target, which carries one call at a time.
 *
 * <p>
 * The connection becomes idle after a complete and delimited response to a request that
 * was written completely, once nothing else has arrived with that response. Bytes that
 * arrive while no call is in progress close it. Confined to the event loop of the daemon.
 */
final class PooledConnection extends ChannelInboundHandlerAdapter {

	private final TargetAddress address;

	private final Consumer<PooledConnection> onIdle;

	private Optional<TargetCall> currentCall;

	private ChannelFuture connectFuture;

	private ChannelFuture requestWritten;

	private boolean responseEnded;

	private boolean reused;

	private long idleSinceMillis;

	private long idleDeadlineMillis;

	/**
	 * Creates a connection for its first call.
	 * @param address address of the target
	 * @param firstCall call that is sent once the connection is established
	 * @param onIdle accepts the connection whenever it can carry another call
	 */
	PooledConnection(TargetAddress address, TargetCall firstCall, Consumer<PooledConnection> onIdle) {
		this.address = address;
		this.currentCall = Optional.of(firstCall);
		this.onIdle = onIdle;
	}

	/**
	 * Attaches the connection attempt.
	 * @param pendingConnection the connection attempt
	 */
	void attach(ChannelFuture pendingConnection) {
		this.connectFuture = pendingConnection;
		pendingConnection.addListener((future) -> {
			if (!future.isSuccess()) {
				failCall(String.valueOf(future.cause().getMessage()));
			}
		});
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.currentCall.ifPresent(TargetCall::sendRequest);
	}

	/**
	 * Sends another call on this idle connection.
	 * @param call the call
	 */
	void startCall(TargetCall call) {
		this.reused = true;
		this.currentCall = Optional.of(call);
		call.sendRequest();
	}

	/**
	 * Writes the request of the current call.
	 * @param head head of the request
	 * @param body body of the request, empty for none
	 */
	void write(HttpRequest head, byte[] body) {
		Channel channel = channel();
		channel.write(head);
		if (body.length > 0) {
			channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(body)));
		}
		this.requestWritten = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		try {
			if (hasBrokenOff()) {
				// The decoder takes a response without a length as complete now.
				failCall("the connection has broken off");
			}
			else if (this.currentCall.isEmpty()) {
				// No request is in progress, so these bytes belong to none.
				close();
			}
			else if (message instanceof HttpObject object) {
				this.currentCall.get().handle(object);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private boolean hasBrokenOff() {
		return !channel().isActive() && !((TargetChannel) channel()).isEndOfInputRead();
	}

	/**
	 * Ends the current call after its complete response.
	 * @param reusable whether the response allows another call on this connection
	 * @param nowMillis the current time
	 * @param maxIdleMillis how long the target keeps the connection open
	 */
	void endCall(boolean reusable, long nowMillis, long maxIdleMillis) {
		this.currentCall = Optional.empty();
		// A response that overtook its request leaves bytes of the body on the way.
		if (!reusable || !this.requestWritten.isSuccess()) {
			close();
			return;
		}
		this.responseEnded = true;
		this.idleSinceMillis = nowMillis;
		this.idleDeadlineMillis = nowMillis + maxIdleMillis;
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		if (this.responseEnded && ctx.channel().isActive()) {
			this.responseEnded = false;
			becomeIdle(ctx);
		}
		ctx.fireChannelReadComplete();
	}

	private void becomeIdle(ChannelHandlerContext ctx) {
		if (ctx.pipeline().get(TargetResponseDecoder.class).hasUndecodedBytes()) {
			close();
			return;
		}
		ctx.channel().config().setAutoRead(true);
		this.onIdle.accept(this);
	}

	/**
	 * Creates the handler that closes the connection on bytes that arrive while no call
	 * is in progress, before they are decoded.
	 * @return the handler
	 */
	ChannelInboundHandler createIdleGuard() {
		return new ChannelInboundHandlerAdapter() {
			@Override
			public void channelRead(ChannelHandlerContext ctx, Object message) {
				if (PooledConnection.this.currentCall.isEmpty()) {
					ReferenceCountUtil.release(message);
					close();
					return;
				}
				ctx.fireChannelRead(message);
			}
		};
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		failCall("the connection ended");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		failCall(String.valueOf(cause.getMessage()));
		close();
	}

	private void failCall(String detail) {
		Optional<TargetCall> failedCall = this.currentCall;
		this.currentCall = Optional.empty();
		failedCall.ifPresent((call) -> call.fail(detail));
	}

	/**
	 * Closes the connection.
	 */
	void close() {
		this.responseEnded = false;
		this.currentCall = Optional.empty();
		channel().close();
	}

	/**
	 * Returns whether this idle connection may carry another call.
	 * @param nowMillis the current time
	 * @param maxIdleMillis how long the connection may have been idle
	 * @return true if the connection is open and was used recently enough
	 */
	boolean isUsable(long nowMillis, int maxIdleMillis) {
		return isOpen() && nowMillis - this.idleSinceMillis <= maxIdleMillis && nowMillis < this.idleDeadlineMillis;
	}

	boolean isOpen() {
		return channel().isActive();
	}

	boolean isReused() {
		return this.reused;
	}

	TargetAddress address() {
		return this.address;
	}

	private Channel channel() {
		return this.connectFuture.channel();
	}

	/**
	 * Resumes or suspends reading from the target.
	 * @param autoRead true to read, false to suspend reading
	 */
	void setAutoRead(boolean autoRead) {
		channel().config().setAutoRead(autoRead);
	}

}
