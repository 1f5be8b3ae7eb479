package org.mustardlane.router.exchange;

import java.util.Optional;

import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.mustardlane.core.event.AttemptBytesReceived;
import org.mustardlane.core.event.AttemptEnded;
import org.mustardlane.core.event.AttemptHeadReceived;
import org.mustardlane.core.event.StartAttempt;
import org.mustardlane.core.message.StoredResponse;
import org.mustardlane.core.model.execution.AttemptResult;
import org.mustardlane.core.model.execution.CallerRequest;
import org.mustardlane.router.answer.AnswerHead;
import org.mustardlane.router.target.AttemptObserver;
import org.mustardlane.router.target.AttemptRequest;
import org.mustardlane.router.target.TargetAttempt;
import org.mustardlane.router.target.TargetClient;
import org.mustardlane.router.worker.EventSink;

/**
 * Joins one attempt with the response of its request: tells the node what is seen and
 * passes a forwarded response on.
 *
 * <p>
 * Thread-safe.
 */
final class RunningAttempt implements AttemptObserver {

	private static final Logger logger = LogManager.getLogger(RunningAttempt.class);

	private final StartAttempt start;

	private final RequestExchange exchange;

	private final EventSink events;

	private final TargetClient targets;

	private final AttemptRequest request;

	private final TargetAttempt attempt;

	private final Runnable onEnd;

	private Optional<AnswerHead> head = Optional.empty();

	private volatile Optional<String> generationId = Optional.empty();

	private boolean forwarded;

	RunningAttempt(StartAttempt start, RequestExchange exchange, EventSink events, TargetClient targets, byte[] body,
			Runnable onEnd) {
		this.start = start;
		this.exchange = exchange;
		this.events = events;
		this.targets = targets;
		this.onEnd = onEnd;
		CallerRequest caller = exchange.request();
		this.request = new AttemptRequest(start, exchange.payload().contentType(), body,
				caller.chatId().map((chat) -> ChatHash.of(caller, chat)), caller.idempotencyKey());
		this.attempt = targets.prepare(this.request, this);
	}

	/**
	 * Sends the attempt.
	 */
	void send() {
		this.targets.send(this.request, this.attempt);
	}

	/**
	 * Gives the attempt up.
	 */
	void cancel() {
		this.attempt.cancel();
	}

	StartAttempt start() {
		return this.start;
	}

	Optional<String> generationId() {
		return this.generationId;
	}

	/**
	 * Passes the response on from now on, head first.
	 */
	void forward() {
		Optional<AnswerHead> received;
		synchronized (this) {
			this.forwarded = true;
			received = this.head;
		}
		received.ifPresent(this.exchange.relay()::begin);
		this.attempt.forward();
	}

	@Override
	public void headReceived(AnswerHead answerHead, Optional<String> generation) {
		boolean begin;
		synchronized (this) {
			this.head = Optional.of(answerHead);
			this.generationId = generation;
			begin = this.forwarded;
		}
		if (begin) {
			this.exchange.relay().begin(answerHead);
		}
		this.events.submit(
				new AttemptHeadReceived(this.start.requestId(), this.start.attempt(), answerHead.status(), generation));
	}

	@Override
	public void partReceived(byte[] part, long totalBytes, Runnable ready) {
		// The count goes out first: once the part is written, the next part or the end
		// may
		// follow on another thread.
		this.events.submit(new AttemptBytesReceived(this.start.requestId(), this.start.attempt(), totalBytes));
		this.exchange.relay().write(part, ready);
	}

	private synchronized boolean isForwarded() {
		return this.forwarded;
	}

	private void log(AttemptResult end, String detail) {
		try (CloseableThreadContext.Instance context = CloseableThreadContext.put("requestId",
				this.start.requestId().value())) {
			logger.info("Attempt {} at {} ended {}: {}", this.start.attempt(), this.start.target().id(), end, detail);
		}
	}

	@Override
	public void ended(AttemptResult end, String detail) {
		Optional<StoredResponse> kept = (end == AttemptResult.WHOLE && this.exchange.keptBytesLimit() > 0)
				? this.exchange.relay().stored(this.exchange.keptBytesLimit()) : Optional.empty();
		if (end == AttemptResult.WHOLE) {
			this.exchange.relay().finishJoined();
		}
		else {
			log(end, detail);
		}
		boolean unseen = end == AttemptResult.BROKEN && isForwarded() && this.exchange.relay().restart();
		AttemptResult told = unseen ? AttemptResult.BROKEN_UNSEEN : end;
		this.events.submit(new AttemptEnded(this.start.requestId(), this.start.attempt(), told, detail, kept));
		this.onEnd.run();
	}

}
