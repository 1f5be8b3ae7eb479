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
 * One connection of a caller: reads requests one after the other and answers them in the
 * order in which they came.
 *
 * <p>
 * What a caller sends while a request is being answered waits in a bounded queue; beyond
 * the bound the connection is not read. Confined to the event loop of the connection.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	private static final int PIPELINED_BYTES = 65_536;

	private static final int PIPELINED_OBJECT_BYTES = 256;

	private static final int LINGER_MILLIS = 2000;

	private final CallerServices services;

	private final Queue<HttpObject> pipelined = new ArrayDeque<>();

	private int pipelinedBytes;

	private Phase phase = Phase.IDLE;

	private boolean keepAlive = true;

	private boolean inputShutdown;

	private Optional<CallerHeaders> headers = Optional.empty();

	private ByteArrayOutputStream body = new ByteArrayOutputStream(0);

	private boolean chunksAllowed = true;

	private Optional<RequestId> requestId = Optional.empty();

	private Optional<CallerResponse> response = Optional.empty();

	private Optional<OpenResponses.Open> open = Optional.empty();

	private ChannelHandlerContext context;

	/**
	 * Creates the handler of one connection.
	 * @param services what all connections share
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
		if (this.phase == Phase.ANSWERING) {
			queue(object);
			return;
		}
		take(object);
	}

	private void queue(HttpObject object) {
		this.pipelined.add(object);
		this.pipelinedBytes += PIPELINED_OBJECT_BYTES
				+ ((object instanceof HttpContent content) ? content.content().readableBytes() : 0);
		if (this.pipelinedBytes > PIPELINED_BYTES) {
			this.context.channel().config().setAutoRead(false);
		}
	}

	private void take(HttpObject object) {
		try {
			if (object.decoderResult().isFailure()) {
				throw DecodeErrors.of(object.decoderResult().cause());
			}
			if (object instanceof HttpRequest head) {
				takeHead(head);
			}
			if (object instanceof HttpContent content) {
				takeContent(content);
			}
		}
		catch (ProtocolException ex) {
			fail(ex.error(), ex.getMessage());
		}
		finally {
			ReferenceCountUtil.release(object);
		}
	}

	private void takeHead(HttpRequest head) throws ProtocolException {
		this.phase = Phase.READING;
		this.body = new ByteArrayOutputStream(0);
		this.chunksAllowed = HttpVersion.HTTP_1_1.equals(head.protocolVersion());
		this.keepAlive = this.chunksAllowed && HttpUtil.isKeepAlive(head);
		this.headers = Optional.of(RequestHeads.check(head, this.services.limits(), this.services.nowMillis()));
		if (HttpUtil.is100ContinueExpected(head)) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private void takeContent(HttpContent content) throws ProtocolException {
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
			arrived();
		}
	}

	private void arrived() throws ProtocolException {
		CallerHeaders head = this.headers.orElseThrow();
		byte[] bytes = this.body.toByteArray();
		this.body = new ByteArrayOutputStream(0);
		OpenResponses.Open begun = this.services.open().begin(bytes.length);
		if (!begun.isAdmitted()) {
			throw new ProtocolException(ProtocolError.ROUTER_FULL, "");
		}
		this.open = Optional.of(begun);
		this.phase = Phase.ANSWERING;
		RequestId id = this.services.requestIds().next();
		CallerResponse answer = new CallerResponse(this.context.channel(), id, this.chunksAllowed,
				this.services.limits().heldAnswerBytes(), this);
		this.requestId = Optional.of(id);
		this.response = Optional.of(answer);
		this.services.listener()
			.requestArrived(id, head.withBody(BodyDigest.of(bytes), bytes.length),
					new RequestPayload(head.contentType(), bytes), answer);
	}

	/**
	 * Says in the head of a response whether the connection stays open.
	 * @param message the head
	 */
	void markConnection(HttpMessage message) {
		if (!this.keepAlive || this.services.closing().getAsBoolean()) {
			this.keepAlive = false;
			message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	/**
	 * Writes the last message of a response and goes on to the next request.
	 * @param message the message
	 */
	void endResponse(Object message) {
		if (message instanceof HttpMessage head) {
			markConnection(head);
		}
		this.response = Optional.empty();
		this.requestId = Optional.empty();
		if (!this.keepAlive) {
			closeAfter(message);
			return;
		}
		Optional<OpenResponses.Open> ending = this.open;
		this.context.writeAndFlush(message).addListener((future) -> ending.ifPresent(OpenResponses.Open::end));
		this.phase = Phase.IDLE;
		this.context.executor().execute(this::takePipelined);
	}

	/**
	 * Says that the caller of a request will not get its answer.
	 * @param id the request
	 */
	void callerGone(RequestId id) {
		this.services.listener().callerGone(id);
	}

	private void takePipelined() {
		while (this.phase != Phase.ANSWERING && this.phase != Phase.CLOSING && !this.pipelined.isEmpty()) {
			take(this.pipelined.remove());
		}
		if (this.pipelined.isEmpty()) {
			this.pipelinedBytes = 0;
			this.context.channel().config().setAutoRead(true);
			closeWhereNothingFollows();
		}
	}

	private void closeWhereNothingFollows() {
		if (!this.inputShutdown) {
			return;
		}
		if (this.phase == Phase.READING) {
			fail(ProtocolError.TRUNCATED_BODY, "");
		}
		else if (this.phase == Phase.IDLE) {
			this.context.close();
		}
	}

	private void fail(ProtocolError error, String detail) {
		this.keepAlive = false;
		this.headers = Optional.empty();
		FullHttpResponse refusal = RefusalResponses.of(error, Outcome.NOT_RUN, detail);
		markConnection(refusal);
		closeAfter(refusal);
	}

	/**
	 * Writes a last message, then reads on for a while so that the reset that follows
	 * unread bytes does not overtake it.
	 * @param message the message
	 */
	private void closeAfter(Object message) {
		this.phase = Phase.CLOSING;
		this.pipelined.forEach(ReferenceCountUtil::release);
		this.pipelined.clear();
		this.body = new ByteArrayOutputStream(0);
		this.context.channel().config().setAutoRead(true);
		this.context.writeAndFlush(message).addListener((future) -> {
			this.open.ifPresent(OpenResponses.Open::end);
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
				closeIfWritten();
			}
			else if (this.pipelined.isEmpty()) {
				closeWhereNothingFollows();
			}
		}
		else if (event instanceof IdleStateEvent idle) {
			idle(idle.state());
		}
	}

	private void closeIfWritten() {
		if (pendingBytes() == 0) {
			this.context.close();
		}
	}

	private void idle(IdleState state) {
		if (state == IdleState.WRITER_IDLE) {
			if (pendingBytes() > 0) {
				this.context.close();
			}
		}
		else if (this.phase == Phase.READING) {
			fail(ProtocolError.IDLE_TIMEOUT, "");
		}
		else if (this.phase == Phase.IDLE) {
			closeIdle();
		}
	}

	private void closeIdle() {
		if (this.services.partialRequest(this.context.channel())) {
			fail(ProtocolError.IDLE_TIMEOUT, "");
		}
		else {
			this.context.close();
		}
	}

	private long pendingBytes() {
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
		this.pipelined.forEach(ReferenceCountUtil::release);
		this.pipelined.clear();
		this.response.filter((answer) -> !answer.ended()).ifPresent((answer) -> {
			this.requestId.ifPresent(this::callerGone);
			answer.resume();
		});
		this.response = Optional.empty();
		this.open.ifPresent(OpenResponses.Open::end);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ctx.close();
	}

	private enum Phase {

		IDLE, READING, ANSWERING, CLOSING

	}

}
