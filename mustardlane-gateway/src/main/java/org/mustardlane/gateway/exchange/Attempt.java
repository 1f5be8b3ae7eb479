package org.mustardlane.gateway.exchange;

import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.placement.LoadSample;
import org.mustardlane.core.placement.TargetLoad;
import org.mustardlane.core.retry.AttemptResult;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.gateway.target.CallFailure;
import org.mustardlane.gateway.target.CallListener;
import org.mustardlane.gateway.target.TargetCall;
import org.mustardlane.gateway.wire.AnswerHead;

/**
 * One send of a call to one target.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class Attempt implements CallListener {

	private static final int MISDIRECTED = 421;

	/**
	 * A target that has not begun to answer after so many objectives is taken for silent,
	 * where another one may run the call.
	 */
	private static final int SILENT_OBJECTIVES = 3;

	/**
	 * Callers leave a stream after two seconds without an event.
	 */
	private static final int SILENT_STREAM_MILLIS = 1400;

	private final ExchangeServices services;

	private final Exchange exchange;

	private final TargetEntry target;

	private final TargetLoad load;

	private Optional<TargetCall> call = Optional.empty();

	private Optional<Future<?>> silence = Optional.empty();

	private long lastHeardMillis;

	private boolean answering;

	private int status;

	private boolean ended;

	Attempt(ExchangeServices services, Exchange exchange, TargetEntry target) {
		this.services = services;
		this.exchange = exchange;
		this.target = target;
		this.load = services.loads().of(target.id());
	}

	/**
	 * Sends the call.
	 * @param requestId its name
	 * @param head head of the request
	 * @param body body of the request
	 */
	void send(String requestId, HttpRequest head, byte[] body) {
		this.load.started();
		this.lastHeardMillis = this.services.nowMillis();
		this.services.log()
			.write(LogEvent.CALL_SENT, "requestId", requestId, "target", this.target.id(), "estimate",
					this.load.estimate(this.lastHeardMillis), "sampleAgeMillis", sampleAge());
		TargetCall sent = this.services.client().send(this.target, requestId, head, body, this);
		this.call = Optional.of(sent);
		if (this.ended) {
			return;
		}
		watch(silenceLimitMillis());
	}

	private String sampleAge() {
		LoadSample sample = this.load.sample();
		return sample.equals(LoadSample.NONE) ? "" : Long.toString(this.lastHeardMillis - sample.seenAtMillis());
	}

	private long silenceLimitMillis() {
		return this.answering ? SILENT_STREAM_MILLIS : SILENT_OBJECTIVES * this.exchange.route().objectiveMillis();
	}

	private void watch(long delayMillis) {
		if (this.exchange.route().semantics().isRepeatable()) {
			this.silence = Optional
				.of(this.services.loop().schedule(this::checkSilence, delayMillis, TimeUnit.MILLISECONDS));
		}
	}

	private void checkSilence() {
		if (this.ended) {
			return;
		}
		long left = this.lastHeardMillis + silenceLimitMillis() - this.services.nowMillis();
		if (left > 0) {
			watch(left);
		}
		else if (this.exchange.tryReserveRepeat(this.answering)) {
			this.load.failed(this.services.nowMillis());
			boolean counted = this.answering;
			cancel();
			this.exchange.repeat(counted, "silent for " + silenceLimitMillis() + " ms");
		}
		else {
			watch(silenceLimitMillis());
		}
	}

	@Override
	public void headReceived(AnswerHead head) {
		long now = this.services.nowMillis();
		this.lastHeardMillis = now;
		this.status = head.status();
		this.services.loads().domains().reached(this.target.domain());
		head.load().ifPresent(this.load::stated);
		if (head.notExecuted() || head.status() == MISDIRECTED) {
			this.call.ifPresent(TargetCall::cancel);
			this.load.refused(now);
			fail(AttemptResult.NOT_EXECUTED, "status " + head.status());
			return;
		}
		if (head.encoded() || (head.isSuccess() && !head.sealed())) {
			this.call.ifPresent(TargetCall::cancel);
			this.load.failed(now);
			fail(AttemptResult.BROKEN, "status " + head.status() + " without a signature or with an encoding");
			return;
		}
		this.load.answered(head.isServerError());
		if (this.exchange.sink().isBegun() && !(head.isSuccess() && head.eventStream())) {
			// Its body must not be taken for the rest of the stream.
			this.call.ifPresent(TargetCall::cancel);
			fail(AttemptResult.BROKEN, "status " + head.status() + " in place of the rest of a stream");
			return;
		}
		if (head.isServerError()) {
			failureAnswered(head);
			return;
		}
		begin(head);
	}

	private void failureAnswered(AnswerHead head) {
		if (this.exchange.attemptFailed(AttemptResult.FAILURE_ANSWERED, false, "status " + head.status())) {
			this.answering = true;
			this.exchange.sink().head(head);
			return;
		}
		this.call.ifPresent(TargetCall::cancel);
		end();
	}

	private void begin(AnswerHead head) {
		this.answering = true;
		this.exchange.answerBegins(head, this.target);
	}

	@Override
	public void partReceived(ByteBuf part) {
		this.lastHeardMillis = this.services.nowMillis();
		if (!this.exchange.sink().part(part)) {
			this.call.ifPresent(TargetCall::cancel);
			fail(AttemptResult.BROKEN, "the ids of the events do not increase");
		}
	}

	@Override
	public void completed() {
		if (!this.exchange.sink().complete()) {
			fail(AttemptResult.BROKEN, "the last event is not whole");
			return;
		}
		end();
		this.exchange.answered(this.status);
	}

	@Override
	public void failed(CallFailure failure, String detail) {
		this.services.holders().lost(this.target.id());
		if (failure == CallFailure.NOT_SENT) {
			this.services.loads().domains().failed(this.target.domain(), this.target.id(), this.services.nowMillis());
		}
		this.load.failed(this.services.nowMillis());
		fail((failure == CallFailure.NOT_SENT) ? AttemptResult.NOT_SENT : AttemptResult.BROKEN, detail);
	}

	private void fail(AttemptResult result, String detail) {
		if (this.ended) {
			return;
		}
		boolean counted = this.answering;
		end();
		this.exchange.attemptFailed(result, counted, detail);
	}

	private void end() {
		if (this.ended) {
			return;
		}
		this.ended = true;
		this.silence.ifPresent((timer) -> timer.cancel(false));
		this.load.ended();
	}

	/**
	 * Gives the attempt up; nothing follows.
	 */
	void cancel() {
		this.call.ifPresent(TargetCall::cancel);
		end();
	}

	boolean isSent() {
		return this.call.filter(TargetCall::isSent).isPresent();
	}

	/**
	 * Reads on or holds back.
	 * @param reading whether to read
	 */
	void setReading(boolean reading) {
		this.call.ifPresent((sent) -> sent.setReading(reading));
	}

}
