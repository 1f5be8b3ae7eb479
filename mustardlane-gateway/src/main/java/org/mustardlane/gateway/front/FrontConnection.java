package org.mustardlane.gateway.front;

import java.io.IOException;
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
 * One connection of a caller: reads calls one after the other and responds in the order
 * of their arrival.
 *
 * <p>
 * Messages that arrive while a call is in progress are queued, so that the connection is
 * still read and a close is noticed at once. A connection whose queue exceeds its limit
 * is read on once the queue is empty. Confined to the event loop of the daemon.
 */
final class FrontConnection extends ChannelInboundHandlerAdapter {

	private static final int MAX_QUEUED_MESSAGES = 64;

	/**
	 * How long the caller may take to read the last response before the connection is
	 * closed.
	 */
	private static final int LINGER_MILLIS = 2000;

	private static final long BODY_MEMORY_RETRY_MILLIS = 500;

	private final FrontContext context;

	private final SocketChannel channel;

	private final Queue<HttpObject> queuedMessages = new ArrayDeque<>();

	private Phase phase = Phase.IDLE;

	private boolean keepAlive = true;

	private long phaseStartedAtMillis;

	private long lastReadAtMillis;

	private boolean partialHead;

	private Optional<IncomingCall> incomingCall = Optional.empty();

	private Optional<CallerResponse> currentResponse = Optional.empty();

	FrontConnection(FrontContext context, SocketChannel channel) {
		this.context = context;
		this.channel = channel;
		this.phaseStartedAtMillis = context.nowMillis();
		this.lastReadAtMillis = this.phaseStartedAtMillis;
	}

	/**
	 * Creates the handler that records the arrival of bytes before they are decoded.
	 * @return the handler
	 */
	ChannelInboundHandler createReadTracker() {
		return new ChannelInboundHandlerAdapter() {
			@Override
			public void channelRead(ChannelHandlerContext ctx, Object message) {
				FrontConnection.this.recordRead();
				ctx.fireChannelRead(message);
			}
		};
	}

	private void recordRead() {
		this.lastReadAtMillis = this.context.nowMillis();
		if (this.phase == Phase.IDLE && !this.partialHead) {
			this.partialHead = true;
			this.phaseStartedAtMillis = this.lastReadAtMillis;
		}
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.context.connections().add(this);
		ctx.fireChannelActive();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.phase == Phase.CLOSING || !(message instanceof HttpObject object)) {
			ReferenceCountUtil.release(message);
			return;
		}
		// Behind queued messages also once the call has ended, as they are handled later.
		if (this.phase == Phase.RESPONDING || !this.queuedMessages.isEmpty()) {
			enqueue(object);
			return;
		}
		handle(object);
	}

	private void enqueue(HttpObject object) {
		this.queuedMessages.add(object);
		if (this.queuedMessages.size() > MAX_QUEUED_MESSAGES) {
			this.channel.config().setAutoRead(false);
		}
	}

	private void handle(HttpObject object) {
		try {
			if (object.decoderResult().isFailure()) {
				reject(createDecodeRejection(object.decoderResult().cause()));
				return;
			}
			if (object instanceof HttpRequest request) {
				handleHead(request);
			}
			if (this.phase == Phase.READING && object instanceof HttpContent content) {
				handleContent(content);
			}
		}
		finally {
			ReferenceCountUtil.release(object);
		}
	}

	private static Rejection createDecodeRejection(Throwable cause) {
		if (cause instanceof TooLongHttpLineException) {
			return Rejection.permanent(HttpResponseStatus.REQUEST_URI_TOO_LONG.code(), "The request line is too long");
		}
		if (cause instanceof TooLongHttpHeaderException) {
			return Rejection.permanent(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE.code(),
					"The headers are too large");
		}
		return Rejection.permanent(HttpResponseStatus.BAD_REQUEST.code(), "Not HTTP/1.1: " + cause.getMessage());
	}

	private void handleHead(HttpRequest request) {
		enterPhase(Phase.READING);
		this.partialHead = false;
		this.keepAlive = HttpVersion.HTTP_1_1.equals(request.protocolVersion()) && HttpUtil.isKeepAlive(request);
		CallHead head;
		try {
			FramingRules.validate(request);
			head = this.context.dialect().readCall(request);
		}
		catch (MalformedCallException ex) {
			reject(Rejection.permanent(HttpResponseStatus.BAD_REQUEST.code(), ex.getMessage()));
			return;
		}
		Optional<Rejection> rejection = checkBodySize(HttpUtil.getContentLength(request, 0L))
			.or(() -> this.context.handler().checkHead(head));
		if (rejection.isPresent()) {
			rejectHead(rejection.get(), request, head);
			return;
		}
		if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
		this.incomingCall = Optional.of(IncomingCall.createAccepted(request, head, this.context.nowMillis()));
	}

	private Optional<Rejection> checkBodySize(long bodyBytes) {
		RequestLimits limits = this.context.limits();
		return (bodyBytes <= limits.bodyBytes()) ? Optional.empty() : Optional.of(Rejection
			.permanent(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(), "At most " + limits.bodyBytes() + " bytes"));
	}

	// The connection can be reused if no body follows the head.
	private void rejectHead(Rejection rejection, HttpRequest request, CallHead head) {
		boolean bodyFollows = HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0;
		this.incomingCall = Optional
			.of(IncomingCall.createRejected(request, head, this.context.nowMillis(), rejection));
		if (bodyFollows) {
			reject(rejection);
		}
	}

	private void handleContent(HttpContent content) {
		if (this.incomingCall.isEmpty()) {
			return;
		}
		IncomingCall call = this.incomingCall.get();
		int bytes = content.content().readableBytes();
		Optional<Rejection> rejection = checkBodySize((long) call.bodyBytes() + bytes);
		if (rejection.isPresent()) {
			reject(rejection.get());
			return;
		}
		if (!this.context.reserveBodyBytes(bytes)) {
			reject(Rejection.temporary(HttpResponseStatus.SERVICE_UNAVAILABLE.code(), "Too many bodies are held",
					BODY_MEMORY_RETRY_MILLIS));
			return;
		}
		call.append(ByteBufUtil.getBytes(content.content()));
		if (content instanceof LastHttpContent) {
			respondTo(call);
		}
	}

	private void respondTo(IncomingCall call) {
		enterPhase(Phase.RESPONDING);
		CallerResponse callerResponse = new CallerResponse(this, this.channel,
				HttpMethod.HEAD.equals(call.request().method()),
				this.keepAlive || HttpVersion.HTTP_1_1.equals(call.request().protocolVersion()));
		this.currentResponse = Optional.of(callerResponse);
		if (call.rejection().isPresent()) {
			logRejection(call.rejection().get());
			callerResponse.reject(call.rejection().get());
			return;
		}
		OpenCall openCall = this.context.handler().open(call.toCall(), callerResponse);
		callerResponse.attach(openCall);
	}

	// Nothing of the call has been sent to a target, whether the call was read
	// completely or not.
	private void reject(Rejection rejection) {
		this.keepAlive = false;
		logRejection(rejection);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(rejection.status()),
				Unpooled.wrappedBuffer(RejectionResponse.body(rejection)), RejectionResponse.headers(rejection),
				EmptyHttpHeaders.INSTANCE);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
		response.headers().set(HttpHeaderNames.CONNECTION, "close");
		releaseIncomingCall();
		writeAndClose(response);
	}

	private void logRejection(Rejection rejection) {
		this.context.log()
			.write(LogEvent.CALLER_REJECTED, "requestId", this.incomingCall.map(IncomingCall::requestId).orElse(""),
					"status", rejection.status(), "reason", rejection.reason());
	}

	/**
	 * Returns whether the connection is closed after the current response.
	 * @return true if the connection is closed
	 */
	boolean closesAfterResponse() {
		if (this.context.isClosing()) {
			this.keepAlive = false;
		}
		return !this.keepAlive;
	}

	/**
	 * Writes the last message of a response and continues with the next call.
	 * @param message the message
	 */
	void finishResponse(Object message) {
		releaseIncomingCall();
		this.currentResponse = Optional.empty();
		if (!this.keepAlive) {
			writeAndClose(message);
			return;
		}
		this.channel.writeAndFlush(message);
		enterPhase(Phase.IDLE);
		this.partialHead = !this.queuedMessages.isEmpty();
		this.channel.eventLoop().execute(this::handleQueuedMessagesSafely);
	}

	// An exception outside the pipeline would leave the connection without a response.
	private void handleQueuedMessagesSafely() {
		try {
			handleQueuedMessages();
		}
		catch (RuntimeException ex) {
			this.channel.pipeline().fireExceptionCaught(ex);
		}
	}

	private void handleQueuedMessages() {
		while (!this.queuedMessages.isEmpty() && this.phase != Phase.RESPONDING && this.phase != Phase.CLOSING) {
			handle(this.queuedMessages.remove());
		}
		if (this.queuedMessages.isEmpty()) {
			this.channel.config().setAutoRead(true);
		}
	}

	// Keeps reading for a while: closing a socket with unread bytes sends a reset, which
	// could overtake the response.
	private void writeAndClose(Object message) {
		enterPhase(Phase.CLOSING);
		releaseQueuedMessages();
		this.channel.config().setAutoRead(true);
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
	 * Closes the connection without completing the response.
	 */
	void abort() {
		this.currentResponse = Optional.empty();
		releaseIncomingCall();
		enterPhase(Phase.CLOSING);
		this.channel.close();
	}

	private void releaseQueuedMessages() {
		this.queuedMessages.forEach(ReferenceCountUtil::release);
		this.queuedMessages.clear();
	}

	private void releaseIncomingCall() {
		this.incomingCall.ifPresent((call) -> this.context.releaseBodyBytes(call.bodyBytes()));
		this.incomingCall = Optional.empty();
	}

	private void enterPhase(Phase nextPhase) {
		this.phase = nextPhase;
		this.phaseStartedAtMillis = this.context.nowMillis();
	}

	/**
	 * Closes the connection if its caller has exceeded the timeout for the request head
	 * or the idle timeout.
	 */
	void closeIfTimedOut() {
		RequestLimits limits = this.context.limits();
		long nowMillis = this.context.nowMillis();
		if (this.phase == Phase.IDLE && this.partialHead) {
			if (nowMillis - this.phaseStartedAtMillis > limits.headerTimeoutMillis()) {
				reject(Rejection.permanent(HttpResponseStatus.REQUEST_TIMEOUT.code(), "The head took too long"));
			}
			return;
		}
		boolean idleTimeoutPassed = nowMillis - Math.max(this.lastReadAtMillis, this.phaseStartedAtMillis) > limits
			.idleTimeoutMillis();
		if (idleTimeoutPassed && this.phase == Phase.IDLE) {
			this.channel.close();
		}
		else if (idleTimeoutPassed && this.phase == Phase.READING) {
			reject(Rejection.permanent(HttpResponseStatus.REQUEST_TIMEOUT.code(), "The body took too long"));
		}
	}

	/**
	 * Closes the connection if no call is being read or served.
	 */
	void closeIfIdle() {
		if (this.phase == Phase.IDLE) {
			this.channel.close();
		}
	}

	boolean isBusy() {
		return this.phase == Phase.READING || this.phase == Phase.RESPONDING || this.partialHead;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		this.currentResponse
			.ifPresent((callerResponse) -> callerResponse.onWritabilityChanged(ctx.channel().isWritable()));
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.context.connections().remove(this);
		Optional<CallerResponse> unfinishedResponse = this.currentResponse;
		this.currentResponse = Optional.empty();
		enterPhase(Phase.CLOSING);
		releaseQueuedMessages();
		releaseIncomingCall();
		unfinishedResponse.ifPresent(CallerResponse::onCallerDisconnected);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (!(cause instanceof IOException)) {
			this.context.log().warn(LogEvent.UNEXPECTED_ERROR, "task", "caller", "reason", cause);
		}
		ctx.close();
	}

	private enum Phase {

		IDLE, READING, RESPONDING, CLOSING

	}

}
