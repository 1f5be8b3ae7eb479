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
import org.mustardlane.router.answer.ResponseHead;
import org.mustardlane.router.target.AttemptObserver;
import org.mustardlane.router.target.AttemptRequest;
import org.mustardlane.router.target.TargetAttempt;
import org.mustardlane.router.target.TargetClient;
import org.mustardlane.router.worker.EventSink;

/**
 * Connects one attempt with the response of its request: reports the progress of the
 * attempt to the node and, once forwarding has started, passes the response on.
 *
 * <p>
 * Thread-safe.
 */
final class RunningAttempt implements AttemptObserver {

	private static final Logger logger = LogManager.getLogger(RunningAttempt.class);

	private final StartAttempt action;

	private final RequestExchange exchange;

	private final EventSink events;

	private final TargetClient targets;

	private final AttemptRequest request;

	private final TargetAttempt attempt;

	private final Runnable onEnd;

	private Optional<ResponseHead> head = Optional.empty();

	private volatile Optional<String> generationId = Optional.empty();

	private boolean forwarding;

	RunningAttempt(StartAttempt action, RequestExchange exchange, EventSink events, TargetClient targets, byte[] body,
			Runnable onEnd) {
		this.action = action;
		this.exchange = exchange;
		this.events = events;
		this.targets = targets;
		this.onEnd = onEnd;
		CallerRequest callerRequest = exchange.request();
		this.request = new AttemptRequest(action, exchange.payload().contentType(), body,
				callerRequest.chatId().map((chatId) -> ChatHash.of(callerRequest, chatId)),
				callerRequest.idempotencyKey());
		this.attempt = targets.prepare(this.request, this);
	}

	/**
	 * Sends the attempt.
	 */
	void send() {
		this.targets.send(this.request, this.attempt);
	}

	/**
	 * Cancels the attempt.
	 */
	void cancel() {
		this.attempt.cancel();
	}

	StartAttempt action() {
		return this.action;
	}

	Optional<String> generationId() {
		return this.generationId;
	}

	/**
	 * Starts to pass the response on, beginning with the head.
	 */
	void forward() {
		Optional<ResponseHead> knownHead;
		synchronized (this) {
			this.forwarding = true;
			knownHead = this.head;
		}
		knownHead.ifPresent(this.exchange.relay()::begin);
		this.attempt.forward();
	}

	@Override
	public void headReceived(ResponseHead receivedHead, Optional<String> receivedGenerationId) {
		boolean shouldForwardHead;
		synchronized (this) {
			this.head = Optional.of(receivedHead);
			this.generationId = receivedGenerationId;
			shouldForwardHead = this.forwarding;
		}
		if (shouldForwardHead) {
			this.exchange.relay().begin(receivedHead);
		}
		this.events.submit(new AttemptHeadReceived(this.action.requestId(), this.action.attempt(),
				receivedHead.status(), receivedGenerationId));
	}

	@Override
	public void partReceived(byte[] part, long totalBytes, Runnable onReady) {
		// The event is submitted first: after the write, the next part or the end of the
		// attempt may arrive on another thread.
		this.events.submit(new AttemptBytesReceived(this.action.requestId(), this.action.attempt(), totalBytes));
		this.exchange.relay().write(part, onReady);
	}

	private synchronized boolean isForwarding() {
		return this.forwarding;
	}

	private void logFailure(AttemptResult result, String detail) {
		try (CloseableThreadContext.Instance context = CloseableThreadContext.put("requestId",
				this.action.requestId().value())) {
			logger.info("Attempt {} at target {} ended with {}: {}", this.action.attempt(), this.action.target().id(),
					result, detail);
		}
	}

	@Override
	public void attemptEnded(AttemptResult result, String detail) {
		Optional<StoredResponse> storedResponse = (result == AttemptResult.WHOLE
				&& this.exchange.storedResponseLimitBytes() > 0)
						? this.exchange.relay().toStoredResponse(this.exchange.storedResponseLimitBytes())
						: Optional.empty();
		if (result == AttemptResult.WHOLE) {
			this.exchange.relay().finishJoinedSinks();
		}
		else {
			logFailure(result, detail);
		}
		boolean restarted = result == AttemptResult.BROKEN && isForwarding() && this.exchange.relay().restart();
		AttemptResult reportedResult = restarted ? AttemptResult.BROKEN_UNSEEN : result;
		this.events.submit(new AttemptEnded(this.action.requestId(), this.action.attempt(), reportedResult, detail,
				storedResponse));
		this.onEnd.run();
	}

}
