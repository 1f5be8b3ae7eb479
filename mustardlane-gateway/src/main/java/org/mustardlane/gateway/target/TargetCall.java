package org.mustardlane.gateway.target;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.wire.ResponseHead;
import org.mustardlane.gateway.wire.WireDialect;

/**
 * A single call to a single target, from connecting to the end of the response.
 *
 * <p>
 * Responses that carry another request id are discarded, and the call keeps waiting for
 * the matching response. Confined to the event loop of the daemon.
 */
public final class TargetCall extends ChannelInboundHandlerAdapter {

	private final String requestId;

	private final HttpRequest head;

	private final byte[] body;

	private final CallListener listener;

	private final WireDialect dialect;

	private final MonotonicClock clock;

	private ChannelFuture connectFuture;

	private boolean sent;

	private boolean ended;

	private boolean matchingResponse;

	/**
	 * Creates a call that is not sent yet.
	 * @param requestId id of the call
	 * @param head head of the request
	 * @param body body of the request
	 * @param listener receives the events of the call
	 * @param dialect reads the head of the response
	 * @param clock monotonic clock
	 */
	TargetCall(String requestId, HttpRequest head, byte[] body, CallListener listener, WireDialect dialect,
			MonotonicClock clock) {
		this.requestId = requestId;
		this.head = head;
		this.body = body;
		this.listener = listener;
		this.dialect = dialect;
		this.clock = clock;
	}

	/**
	 * Attaches the connection that is being opened; the request is sent once the
	 * connection is active.
	 * @param pendingConnection the connection attempt
	 */
	void attachConnection(ChannelFuture pendingConnection) {
		this.connectFuture = pendingConnection;
		pendingConnection.addListener((future) -> {
			if (!future.isSuccess()) {
				failCall(String.valueOf(future.cause().getMessage()));
			}
		});
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		if (this.ended) {
			ctx.close();
			return;
		}
		this.sent = true;
		setFramingHeaders();
		ctx.write(this.head);
		if (this.body.length > 0) {
			ctx.write(new DefaultHttpContent(Unpooled.wrappedBuffer(this.body)));
		}
		ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
	}

	private void setFramingHeaders() {
		this.head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		if (this.body.length > 0 || HttpMethod.POST.equals(this.head.method())
				|| HttpMethod.PUT.equals(this.head.method())) {
			this.head.headers().set(HttpHeaderNames.CONTENT_LENGTH, this.body.length);
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		try {
			if (!this.ended && message instanceof HttpObject object) {
				handle(object);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void handle(HttpObject object) {
		if (object.decoderResult().isFailure()) {
			failCall("not HTTP: " + object.decoderResult().cause().getMessage());
			return;
		}
		if (object instanceof HttpResponse response) {
			handleHead(response);
		}
		if (!this.ended && this.matchingResponse && object instanceof HttpContent content) {
			handleContent(content);
		}
	}

	private void handleHead(HttpResponse response) {
		this.matchingResponse = false;
		if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			return;
		}
		ResponseHead responseHead = this.dialect.readResponse(response, this.clock.nowMillis());
		if (responseHead.requestId().filter(this.requestId::equals).isEmpty()) {
			return;
		}
		this.matchingResponse = true;
		this.listener.onHead(responseHead);
	}

	private void handleContent(HttpContent content) {
		if (content.content().isReadable()) {
			this.listener.onContent(content.content());
		}
		if (!this.ended && content instanceof LastHttpContent) {
			this.ended = true;
			this.connectFuture.channel().close();
			this.listener.onComplete();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		failCall(String.valueOf(cause.getMessage()));
		ctx.close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		failCall("the connection ended");
	}

	private void failCall(String detail) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.connectFuture.channel().close();
		this.listener.onFailure(this.sent ? CallFailure.BROKEN : CallFailure.NOT_SENT, detail);
	}

	/**
	 * Cancels the call; the listener receives no more events.
	 */
	public void cancel() {
		this.ended = true;
		this.connectFuture.channel().close();
	}

	/**
	 * Returns whether any byte may have reached the target.
	 * @return true once the request was passed to the connection
	 */
	public boolean isSent() {
		return this.sent;
	}

	/**
	 * Resumes or suspends reading from the target, so that a response occupies no more
	 * memory than its caller consumes.
	 * @param autoRead true to read, false to suspend reading
	 */
	public void setAutoRead(boolean autoRead) {
		Channel channel = this.connectFuture.channel();
		channel.config().setAutoRead(autoRead);
	}

}
