package org.mustardlane.gateway.front;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;

import org.mustardlane.core.route.RequestLimits;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.gateway.wire.CallHead;
import org.mustardlane.gateway.wire.MalformedCallException;

/**
 * One connection of a caller: reads calls one after the other and answers them in the
 * order in which they came.
 *
 * <p>
 * What a caller sends while a call is being answered waits, so that a close is noticed at
 * once; beyond a bound the connection is closed. Confined to the event loop of the
 * daemon.
 */
final class FrontConnection extends ChannelInboundHandlerAdapter {

	private static final int MOST_WAITING_MESSAGES = 64;

	/**
	 * How long a caller may take to read the answer after which its connection ends.
	 */
	private static final int LINGER_MILLIS = 2000;

	private static final long BUSY_RETRY_MILLIS = 500;

	private final FrontServices services;

	private final SocketChannel channel;

	private final Queue<HttpObject> waiting = new ArrayDeque<>();

	private Phase phase = Phase.IDLE;

	private boolean keepAlive = true;

	private long phaseSinceMillis;

	private long lastByteAtMillis;

	private boolean partialHead;

	private Optional<IncomingCall> incoming = Optional.empty();

	private Optional<FrontAnswer> answer = Optional.empty();

	FrontConnection(FrontServices services, SocketChannel channel) {
		this.services = services;
		this.channel = channel;
		this.phaseSinceMillis = services.nowMillis();
		this.lastByteAtMillis = this.phaseSinceMillis;
	}

	/**
	 * Returns the handler that notes the arrival of bytes before they are decoded.
	 * @return the handler
	 */
	ChannelInboundHandler byteWatch() {
		return new ChannelInboundHandlerAdapter() {
			@Override
			public void channelRead(ChannelHandlerContext ctx, Object message) {
				FrontConnection.this.bytesArrived();
				ctx.fireChannelRead(message);
			}
		};
	}

	private void bytesArrived() {
		this.lastByteAtMillis = this.services.nowMillis();
		if (this.phase == Phase.IDLE && !this.partialHead) {
			this.partialHead = true;
			this.phaseSinceMillis = this.lastByteAtMillis;
		}
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.services.connections().add(this);
		ctx.fireChannelActive();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.phase == Phase.CLOSING || !(message instanceof HttpObject object)) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.phase == Phase.ANSWERING) {
			keep(object);
			return;
		}
		take(object);
	}

	private void keep(HttpObject object) {
		this.waiting.add(object);
		if (this.waiting.size() > MOST_WAITING_MESSAGES) {
			this.services.log().write(LogEvent.CALLER_REJECTED, "reason", "too many calls on one connection");
			this.channel.close();
		}
	}

	private void take(HttpObject object) {
		try {
			if (object.decoderResult().isFailure()) {
				reject(decodeFailure(object.decoderResult().cause()));
				return;
			}
			if (object instanceof HttpRequest request) {
				takeHead(request);
			}
			if (this.phase == Phase.READING && object instanceof HttpContent content) {
				takeContent(content);
			}
		}
		finally {
			ReferenceCountUtil.release(object);
		}
	}

	private static Rejection decodeFailure(Throwable cause) {
		if (cause instanceof TooLongHttpLineException) {
			return Rejection.lasting(HttpResponseStatus.REQUEST_URI_TOO_LONG.code(), "The request line is too long");
		}
		if (cause instanceof TooLongHttpHeaderException) {
			return Rejection.lasting(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE.code(),
					"The headers are too large");
		}
		return Rejection.lasting(HttpResponseStatus.BAD_REQUEST.code(), "Not HTTP/1.1: " + cause.getMessage());
	}

	private void takeHead(HttpRequest request) {
		enter(Phase.READING);
		this.partialHead = false;
		this.keepAlive = HttpVersion.HTTP_1_1.equals(request.protocolVersion()) && HttpUtil.isKeepAlive(request);
		CallHead head;
		try {
			FramingRules.check(request);
			head = this.services.dialect().readCall(request);
		}
		catch (MalformedCallException ex) {
			reject(Rejection.lasting(HttpResponseStatus.BAD_REQUEST.code(), ex.getMessage()));
			return;
		}
		Optional<Rejection> rejection = tooLong(HttpUtil.getContentLength(request, 0L))
			.or(() -> this.services.handler().check(head));
		if (rejection.isPresent()) {
			rejectHead(rejection.get(), request, head);
			return;
		}
		if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
		this.incoming = Optional.of(IncomingCall.accepted(request, head, this.services.nowMillis()));
	}

	private Optional<Rejection> tooLong(long bodyBytes) {
		RequestLimits limits = this.services.limits();
		return (bodyBytes <= limits.bodyBytes()) ? Optional.empty() : Optional.of(Rejection
			.lasting(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(), "At most " + limits.bodyBytes() + " bytes"));
	}

	// Without a body the connection can go on.
	private void rejectHead(Rejection rejection, HttpRequest request, CallHead head) {
		boolean bodyFollows = HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0;
		this.incoming = Optional.of(IncomingCall.rejected(request, head, this.services.nowMillis(), rejection));
		if (bodyFollows) {
			reject(rejection);
		}
	}

	private void takeContent(HttpContent content) {
		if (this.incoming.isEmpty()) {
			return;
		}
		IncomingCall call = this.incoming.get();
		int bytes = content.content().readableBytes();
		Optional<Rejection> rejection = tooLong((long) call.bodyBytes() + bytes);
		if (rejection.isPresent()) {
			reject(rejection.get());
			return;
		}
		if (!this.services.reserveBody(bytes)) {
			reject(Rejection.passing(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), "Too many bodies are held",
					BUSY_RETRY_MILLIS));
			return;
		}
		call.append(ByteBufUtil.getBytes(content.content()));
		if (content instanceof LastHttpContent) {
			arrived(call);
		}
	}

	private void arrived(IncomingCall call) {
		enter(Phase.ANSWERING);
		FrontAnswer own = new FrontAnswer(this, this.channel, HttpMethod.HEAD.equals(call.request().method()),
				this.keepAlive || HttpVersion.HTTP_1_1.equals(call.request().protocolVersion()));
		this.answer = Optional.of(own);
		if (call.rejection().isPresent()) {
			logRejection(call.rejection().get());
			own.reject(call.rejection().get());
			return;
		}
		OpenCall open = this.services.handler().open(call.whole(), own);
		own.serve(open);
	}

	// Whether the call was read whole or not, nothing of it was sent on.
	private void reject(Rejection rejection) {
		this.keepAlive = false;
		logRejection(rejection);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(rejection.status()), Unpooled.wrappedBuffer(RejectionAnswer.body(rejection)),
				RejectionAnswer.headers(rejection), EmptyHttpHeaders.INSTANCE);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
		response.headers().set(HttpHeaderNames.CONNECTION, "close");
		forgetBody();
		closeAfter(response);
	}

	private void logRejection(Rejection rejection) {
		this.services.log()
			.write(LogEvent.CALLER_REJECTED, "requestId", this.incoming.map(IncomingCall::requestId).orElse(""),
					"status", rejection.status(), "reason", rejection.reason());
	}

	/**
	 * Tells whether the connection ends after the present answer.
	 * @return true if it does
	 */
	boolean closesAfterAnswer() {
		if (this.services.isClosing()) {
			this.keepAlive = false;
		}
		return !this.keepAlive;
	}

	/**
	 * Writes the last message of an answer and goes on to the next call.
	 * @param message the message
	 */
	void finish(Object message) {
		forgetBody();
		this.answer = Optional.empty();
		if (!this.keepAlive) {
			closeAfter(message);
			return;
		}
		this.channel.writeAndFlush(message);
		enter(Phase.IDLE);
		this.partialHead = !this.waiting.isEmpty();
		this.channel.eventLoop().execute(this::takeWaiting);
	}

	private void takeWaiting() {
		while (!this.waiting.isEmpty() && this.phase != Phase.ANSWERING && this.phase != Phase.CLOSING) {
			take(this.waiting.remove());
		}
	}

	// Reads on for a while, so that the reset that follows unread bytes does not overtake
	// the message.
	private void closeAfter(Object message) {
		enter(Phase.CLOSING);
		dropWaiting();
		this.channel.writeAndFlush(message).addListener((future) -> {
			if (!future.isSuccess()) {
				this.channel.close();
				return;
			}
			this.channel.shutdownOutput().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
			this.channel.eventLoop().schedule(() -> this.channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
		});
	}

	/**
	 * Closes the connection without an end of the answer.
	 */
	void abort() {
		this.answer = Optional.empty();
		forgetBody();
		enter(Phase.CLOSING);
		this.channel.close();
	}

	private void dropWaiting() {
		this.waiting.forEach(ReferenceCountUtil::release);
		this.waiting.clear();
	}

	private void forgetBody() {
		this.incoming.ifPresent((call) -> this.services.releaseBody(call.bodyBytes()));
		this.incoming = Optional.empty();
	}

	private void enter(Phase next) {
		this.phase = next;
		this.phaseSinceMillis = this.services.nowMillis();
	}

	/**
	 * Closes the connection if its caller has been silent for longer than it may.
	 */
	void closeIfOverdue() {
		RequestLimits limits = this.services.limits();
		long now = this.services.nowMillis();
		if (this.phase == Phase.IDLE && this.partialHead) {
			if (now - this.phaseSinceMillis > limits.headerTimeoutMillis()) {
				reject(Rejection.lasting(HttpResponseStatus.REQUEST_TIMEOUT.code(), "The head took too long"));
			}
			return;
		}
		boolean silent = now - Math.max(this.lastByteAtMillis, this.phaseSinceMillis) > limits.idleTimeoutMillis();
		if (silent && this.phase == Phase.IDLE) {
			this.channel.close();
		}
		else if (silent && this.phase == Phase.READING) {
			reject(Rejection.lasting(HttpResponseStatus.REQUEST_TIMEOUT.code(), "The body took too long"));
		}
	}

	/**
	 * Closes the connection if it waits for a call.
	 */
	void closeIdle() {
		if (this.phase == Phase.IDLE) {
			this.channel.close();
		}
	}

	boolean isBusy() {
		return this.phase == Phase.READING || this.phase == Phase.ANSWERING || this.partialHead;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		this.answer.ifPresent((own) -> own.writabilityChanged(ctx.channel().isWritable()));
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.services.connections().remove(this);
		Optional<FrontAnswer> unfinished = this.answer;
		this.answer = Optional.empty();
		enter(Phase.CLOSING);
		dropWaiting();
		forgetBody();
		unfinished.ifPresent(FrontAnswer::callerGone);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

	private enum Phase {

		IDLE, READING, ANSWERING, CLOSING

	}

}
