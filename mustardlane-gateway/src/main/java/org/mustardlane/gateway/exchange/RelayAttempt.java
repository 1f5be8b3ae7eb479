package org.mustardlane.gateway.exchange;

import java.util.Optional;
import java.util.Set;

import io.netty.buffer.ByteBuf;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.retry.AttemptFailure;
import org.mustardlane.gateway.front.Call;
import org.mustardlane.gateway.relay.RelayHeaders;
import org.mustardlane.gateway.relay.RelayResponse;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.gateway.target.CallFailure;
import org.mustardlane.gateway.target.CallListener;
import org.mustardlane.gateway.target.RequestSource;
import org.mustardlane.gateway.target.TargetCall;
import org.mustardlane.gateway.wire.ResponseHead;

/**
 * A single send of a call to another router, which reaches the targets of the call.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class RelayAttempt implements CallListener, OpenAttempt {

	/**
	 * Statuses with which a router ends a call that may have run.
	 */
	private static final Set<Integer> MAY_HAVE_RUN = Set.of(502, 504);

	private final ExchangeContext context;

	private final Exchange exchange;

	private final TargetEntry router;

	private final RequestSource requestSource;

	private Optional<TargetCall> call = Optional.empty();

	private RelayResponse response = new RelayResponse(false, Optional.empty(), Optional.empty());

	private int status;

	private boolean responseStarted;

	private boolean ended;

	RelayAttempt(ExchangeContext context, Exchange exchange, TargetEntry router, RequestSource requestSource) {
		this.context = context;
		this.exchange = exchange;
		this.router = router;
		this.requestSource = requestSource;
	}

	/**
	 * Sends the call to the router.
	 * @param sentCall the call
	 */
	void send(Call sentCall) {
		this.context.log()
			.write(LogEvent.CALL_RELAYED, "requestId", this.exchange.routedCall().requestId(), "router",
					this.router.id(), "elapsedMillis", this.exchange.report().elapsedMillis());
		this.call = Optional.of(this.context.relayClient()
			.send(this.router, this.exchange.routedCall().requestId(), this.exchange.routedCall().route().semantics(),
					false, sentCall.request().method(), this.requestSource, sentCall.body(), this));
		if (!this.ended && !this.exchange.isCallerWritable()) {
			setAutoRead(false);
		}
	}

	@Override
	public void onHead(ResponseHead head) {
		this.status = head.status();
		this.response = RelayHeaders.takeResponse(head.headers());
		if (this.response.own()) {
			this.call.ifPresent(TargetCall::cancel);
			endWithoutTarget(head.status());
			return;
		}
		this.response.target()
			.flatMap((target) -> this.context.routingState().targets().find(target))
			.ifPresent((target) -> this.context.targetReports().apply(head, target));
		Optional<String> fault = ResponseChecks.findCorruption(head)
			.or(() -> ResponseChecks.findMismatch(head, this.exchange.routedCall().route().semantics(),
					this.exchange.responseSink()));
		if (fault.isPresent()) {
			this.call.ifPresent(TargetCall::cancel);
			failAttempt(AttemptFailure.BROKEN, fault.get());
		}
		else if (head.isServerError()) {
			forwardServerError(head);
		}
		else {
			this.responseStarted = true;
			this.exchange.startRelayedResponse(head);
		}
	}

	private void endWithoutTarget(int ownStatus) {
		String detail = "router " + this.router.id() + " responded " + ownStatus;
		if (MAY_HAVE_RUN.contains(ownStatus)) {
			failAttempt(AttemptFailure.BROKEN, detail);
		}
		else {
			decline(true, detail);
		}
	}

	private void decline(boolean isReached, String detail) {
		this.ended = true;
		this.exchange.handleDeclined(this.router, isReached, detail);
	}

	private void forwardServerError(ResponseHead head) {
		if (this.exchange.handleFailedAttempt(AttemptFailure.FAILURE_ANSWERED, false, "status " + head.status())) {
			this.responseStarted = true;
			this.exchange.responseSink().startResponse(head);
			return;
		}
		cancel();
	}

	@Override
	public void onContent(ByteBuf content) {
		ResponseSink sink = this.exchange.responseSink();
		boolean isBeginning = sink.lastEventId().isEmpty();
		if (!sink.addContent(content)) {
			this.call.ifPresent(TargetCall::cancel);
			failAttempt(AttemptFailure.BROKEN, "the bytes are no events with increasing ids");
			return;
		}
		if (isBeginning && sink.lastEventId().isPresent()) {
			this.exchange.evidence().recordRelayedStart();
			this.response.version().ifPresent(this.exchange.records()::recordFirstEvent);
		}
	}

	@Override
	public void onComplete() {
		if (!this.exchange.responseSink().complete()) {
			failAttempt(AttemptFailure.BROKEN, "the last event is not whole");
			return;
		}
		this.ended = true;
		this.exchange.endCompletedCall(this.status);
	}

	@Override
	public void onFailure(CallFailure failure, String detail) {
		if (this.ended) {
			return;
		}
		if (failure == CallFailure.NOT_SENT) {
			decline(false, detail);
			return;
		}
		failAttempt(AttemptFailure.BROKEN, "router " + this.router.id() + ": " + detail);
	}

	private void failAttempt(AttemptFailure failure, String detail) {
		if (!this.ended) {
			this.ended = true;
			this.exchange.handleFailedAttempt(failure, this.responseStarted, detail);
		}
	}

	@Override
	public void cancel() {
		this.ended = true;
		this.call.ifPresent(TargetCall::cancel);
	}

	@Override
	public boolean isSent() {
		return this.call.filter(TargetCall::isSent).isPresent();
	}

	@Override
	public void setAutoRead(boolean autoRead) {
		this.call.ifPresent((targetCall) -> targetCall.setAutoRead(autoRead));
	}

	@Override
	public void reportAbandoned() {
		// The router notices the end of the call.
	}

	@Override
	public void reportSilence() {
		// The router watches its target itself.
	}

}
