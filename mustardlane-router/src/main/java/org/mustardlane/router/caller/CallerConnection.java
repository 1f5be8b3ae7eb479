package org.mustardlane.router.caller;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.Outcome;

/**
 * Connection of a caller: reads requests one after another and sends the responses in the
 * same order.
 *
 * <p>
 * Requests that arrive while a response is pending (pipelining) wait in a bounded queue;
 * while the queue is full, the connection is not read. Confined to the event loop of the
 * connection.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	private static final int PIPELINED_LIMIT_BYTES = 65_536;

	private static final int PIPELINED_OBJECT_OVERHEAD_BYTES = 256;

	private static final int LINGER_MILLIS = 2000;

	private final CallerServices services;

	private final Queue<HttpObject> pipelinedObjects = new ArrayDeque<>();

	private int pipelinedBytes;

	private Phase phase = Phase.IDLE;

	private boolean keepAlive = true;

	private boolean inputShutdown;

	private Optional<CallerHeaders> headers = Optional.empty();

	private ByteArrayOutputStream body = new ByteArrayOutputStream(0);

	private boolean chunksAllowed = true;

	private Optional<RequestId> requestId = Optional.empty();

	private Optional<CallerResponse> response = Optional.empty();

	private Optional<OpenResponses.OpenResponse> openResponse = Optional.empty();

	private ChannelHandlerContext context;

	/**
	 * Creates the handler of one connection.
	 * @param services objects that all connections share
	 */
	CallerConnection(CallerServices services) {
		this.services = services;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.context = ctx;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.phase == Phase.CLOSING || !(message instanceof HttpObject object)) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.phase == Phase.RESPONDING) {
			enqueue(object);
			return;
		}
		process(object);
	}

	private void enqueue(HttpObject object) {
		this.pipelinedObjects.add(object);
		this.pipelinedBytes += PIPELINED_OBJECT_OVERHEAD_BYTES
				+ ((object instanceof HttpContent content) ? content.content().readableBytes() : 0);
		if (this.pipelinedBytes > PIPELINED_LIMIT_BYTES) {
			this.context.channel().config().setAutoRead(false);
		}
	}

	private void process(HttpObject object) {
		try {
			if (object.decoderResult().isFailure()) {
				throw DecodeErrors.of(object.decoderResult().cause());
			}
			if (object instanceof HttpRequest head) {
				processHead(head);
			}
			if (object instanceof HttpContent content) {
				processContent(content);
			}
		}
		catch (ProtocolException ex) {
			respondWithError(ex.error(), ex.getMessage());
		}
		finally {
			ReferenceCountUtil.release(object);
		}
	}

	private void processHead(HttpRequest head) throws ProtocolException {
		this.phase = Phase.READING;
		this.body = new ByteArrayOutputStream(0);
		this.chunksAllowed = HttpVersion.HTTP_1_1.equals(head.protocolVersion());
		this.keepAlive = this.chunksAllowed && HttpUtil.isKeepAlive(head);
		this.headers = Optional.of(RequestHeads.parse(head, this.services.limits(), this.services.nowMillis()));
		if (HttpUtil.is100ContinueExpected(head)) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private void processContent(HttpContent content) throws ProtocolException {
		if (this.phase != Phase.READING) {
			return;
		}
		ByteBuf bytes = content.content();
		if (this.body.size() + bytes.readableBytes() > this.services.limits().bodyBytes()) {
			throw new ProtocolException(ProtocolError.BODY_TOO_LARGE,
					"at most " + this.services.limits().bodyBytes() + " bytes");
		}
		this.body.writeBytes(ByteBufUtil.getBytes(bytes));
		if (content instanceof LastHttpContent) {
			submitRequest();
		}
	}

	private void submitRequest() throws ProtocolException {
		CallerHeaders head = this.headers.orElseThrow();
		byte[] bytes = this.body.toByteArray();
		this.body = new ByteArrayOutputStream(0);
		OpenResponses.OpenResponse opened = this.services.openResponses().open(bytes.length);
		if (!opened.isAdmitted()) {
			throw new ProtocolException(ProtocolError.ROUTER_FULL, "");
		}
		this.openResponse = Optional.of(opened);
		this.phase = Phase.RESPONDING;
		RequestId newRequestId = this.services.requestIdGenerator().next();
		CallerResponse callerResponse = new CallerResponse(this.context.channel(), newRequestId, this.chunksAllowed,
				this.services.limits().bufferedResponseBytes(), this);
		this.requestId = Optional.of(newRequestId);
		this.response = Optional.of(callerResponse);
		this.services.listener()
			.requestArrived(newRequestId, head.toCallerRequest(BodyDigest.of(bytes), bytes.length),
					new RequestPayload(head.contentType(), bytes), callerResponse);
	}

	/**
	 * Adds the header {@code Connection: close} to a response if the connection is to be
	 * closed after it.
	 * @param message head of the response
	 */
	void setConnectionHeader(HttpMessage message) {
		if (!this.keepAlive || this.services.closeAfterResponse().getAsBoolean()) {
			this.keepAlive = false;
			message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	/**
	 * Writes the last message of a response and continues with the next request.
	 * @param message the message
	 */
	void endResponse(Object message) {
		if (message instanceof HttpMessage head) {
			setConnectionHeader(head);
		}
		this.response = Optional.empty();
		this.requestId = Optional.empty();
		if (!this.keepAlive) {
			writeAndClose(message);
			return;
		}
		Optional<OpenResponses.OpenResponse> endingResponse = this.openResponse;
		this.context.writeAndFlush(message)
			.addListener((future) -> endingResponse.ifPresent(OpenResponses.OpenResponse::end));
		this.phase = Phase.IDLE;
		this.context.executor().execute(this::processPipelinedRequests);
	}

	/**
	 * Reports that the caller will not receive the response to a request.
	 * @param id the request
	 */
	void reportCancelledRequest(RequestId id) {
		this.services.listener().requestCancelled(id);
	}

	private void processPipelinedRequests() {
		while (this.phase != Phase.RESPONDING && this.phase != Phase.CLOSING && !this.pipelinedObjects.isEmpty()) {
			process(this.pipelinedObjects.remove());
		}
		if (this.pipelinedObjects.isEmpty()) {
			this.pipelinedBytes = 0;
			this.context.channel().config().setAutoRead(true);
			handleInputEnd();
		}
	}

	private void handleInputEnd() {
		if (!this.inputShutdown) {
			return;
		}
		if (this.phase == Phase.READING) {
			respondWithError(ProtocolError.TRUNCATED_BODY, "");
		}
		else if (this.phase == Phase.IDLE) {
			this.context.close();
		}
	}

	private void respondWithError(ProtocolError error, String detail) {
		this.keepAlive = false;
		this.headers = Optional.empty();
		FullHttpResponse refusal = RefusalResponses.of(error, Outcome.NOT_RUN, detail);
		setConnectionHeader(refusal);
		writeAndClose(refusal);
	}

	/**
	 * Writes the last message of the connection, then keeps reading for a while before
	 * closing: closing with unread bytes would send a TCP reset, which could reach the
	 * caller before the message.
	 * @param message the message
	 */
	private void writeAndClose(Object message) {
		this.phase = Phase.CLOSING;
		this.pipelinedObjects.forEach(ReferenceCountUtil::release);
		this.pipelinedObjects.clear();
		this.body = new ByteArrayOutputStream(0);
		this.context.channel().config().setAutoRead(true);
		this.context.writeAndFlush(message).addListener((future) -> {
			this.openResponse.ifPresent(OpenResponses.OpenResponse::end);
			if (this.inputShutdown || !future.isSuccess()) {
				this.context.close();
				return;
			}
			((SocketChannel) this.context.channel()).shutdownOutput()
				.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
			this.context.executor().schedule(() -> this.context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
		});
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			this.inputShutdown = true;
			if (this.phase == Phase.CLOSING) {
				closeIfFlushed();
			}
			else if (this.pipelinedObjects.isEmpty()) {
				handleInputEnd();
			}
		}
		else if (event instanceof IdleStateEvent idleEvent) {
			handleIdle(idleEvent.state());
		}
	}

	private void closeIfFlushed() {
		if (pendingWriteBytes() == 0) {
			this.context.close();
		}
	}

	private void handleIdle(IdleState state) {
		if (state == IdleState.WRITER_IDLE) {
			if (pendingWriteBytes() > 0) {
				this.context.close();
			}
		}
		else if (this.phase == Phase.READING) {
			respondWithError(ProtocolError.IDLE_TIMEOUT, "");
		}
		else if (this.phase == Phase.IDLE) {
			closeIdle();
		}
	}

	private void closeIdle() {
		if (this.services.hasPartialRequest(this.context.channel())) {
			respondWithError(ProtocolError.IDLE_TIMEOUT, "");
		}
		else {
			this.context.close();
		}
	}

	private long pendingWriteBytes() {
		ChannelOutboundBuffer buffer = this.context.channel().unsafe().outboundBuffer();
		return (buffer != null) ? buffer.totalPendingWriteBytes() : 0;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		if (ctx.channel().isWritable()) {
			this.response.ifPresent(CallerResponse::resume);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.phase = Phase.CLOSING;
		this.pipelinedObjects.forEach(ReferenceCountUtil::release);
		this.pipelinedObjects.clear();
		this.response.filter((pending) -> !pending.isEnded()).ifPresent((pending) -> {
			this.requestId.ifPresent(this::reportCancelledRequest);
			pending.resume();
		});
		this.response = Optional.empty();
		this.openResponse.ifPresent(OpenResponses.OpenResponse::end);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

	private enum Phase {

		IDLE, READING, RESPONDING, CLOSING

	}

}
