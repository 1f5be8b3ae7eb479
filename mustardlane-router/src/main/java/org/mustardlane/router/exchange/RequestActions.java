package org.mustardlane.router.exchange;

import java.util.Optional;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.mustardlane.core.event.AbortAnswer;
import org.mustardlane.core.event.AttemptEnded;
import org.mustardlane.core.event.AttemptSending;
import org.mustardlane.core.event.CancelAttempt;
import org.mustardlane.core.event.FinishAnswer;
import org.mustardlane.core.event.ForwardAttempt;
import org.mustardlane.core.event.JoinAnswer;
import org.mustardlane.core.event.KeepAnswer;
import org.mustardlane.core.event.RefuseRequest;
import org.mustardlane.core.event.RequestArrived;
import org.mustardlane.core.event.RequestCancelled;
import org.mustardlane.core.event.SendStoredAnswer;
import org.mustardlane.core.event.StartAttempt;
import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.execution.AttemptKind;
import org.mustardlane.core.model.execution.AttemptResult;
import org.mustardlane.core.model.execution.CallerRequest;
import org.mustardlane.router.answer.ResponseRelay;
import org.mustardlane.router.answer.ResponseSink;
import org.mustardlane.router.caller.CallerListener;
import org.mustardlane.router.caller.CallerResponse;
import org.mustardlane.router.caller.RequestPayload;
import org.mustardlane.router.target.TargetClient;
import org.mustardlane.router.worker.ActionTable;
import org.mustardlane.router.worker.WorkerPool;

/**
 * Executes the actions that belong to requests, and submits the requests of callers to
 * the node.
 *
 * <p>
 * The actions of a request run on the worker of that request. Thread-safe.
 */
public final class RequestActions implements CallerListener {

	private static final Logger logger = LogManager.getLogger(RequestActions.class);

	private final RequestTable requests = new RequestTable();

	private final VmId self;

	private final TargetClient targets;

	private final RemoteResponseFetcher remoteResponses;

	private final int copyLimitBytes;

	private WorkerPool workers;

	/**
	 * Creates the executor.
	 * @param self this router
	 * @param targets sends the attempts
	 * @param remoteResponses fetches responses from other routers
	 * @param copyLimitBytes largest response of which a copy is kept while it is received
	 */
	public RequestActions(VmId self, TargetClient targets, RemoteResponseFetcher remoteResponses, int copyLimitBytes) {
		this.self = self;
		this.targets = targets;
		this.remoteResponses = remoteResponses;
		this.copyLimitBytes = copyLimitBytes;
	}

	/**
	 * Registers this executor for the actions that belong to requests. Must be called
	 * before the first request arrives.
	 * @param table receives the registrations
	 * @param pool runs the actions
	 */
	public void register(ActionTable table, WorkerPool pool) {
		this.workers = pool;
		table.on(StartAttempt.class, this::startAttempt)
			.on(CancelAttempt.class, this::cancelAttempt)
			.on(ForwardAttempt.class, this::forwardAttempt)
			.on(FinishAnswer.class, this::finishResponse)
			.on(AbortAnswer.class,
					(action) -> endResponse(action.requestId(), (exchange) -> exchange.relay().abort(action.refusal())))
			.on(RefuseRequest.class,
					(action) -> endResponse(action.requestId(), (exchange) -> exchange.relay().abort(action.refusal())))
			.on(SendStoredAnswer.class,
					(action) -> endResponse(action.requestId(),
							(exchange) -> exchange.response().send(action.answer())))
			.on(KeepAnswer.class,
					(action) -> ifInFlight(action.requestId(),
							(exchange) -> exchange.setStoredResponseLimitBytes(action.limitBytes())))
			.on(JoinAnswer.class, this::joinHolderResponse);
	}

	/**
	 * Returns the number of requests in flight.
	 * @return the number of requests
	 */
	public int requestsInFlight() {
		return this.requests.size();
	}

	@Override
	public void requestArrived(RequestId requestId, CallerRequest request, RequestPayload payload,
			CallerResponse response) {
		this.requests.add(new RequestExchange(requestId, request, payload, response, this.copyLimitBytes));
		this.workers.submit(new RequestArrived(requestId, request));
	}

	@Override
	public void requestCancelled(RequestId requestId) {
		this.workers.run(requestId, () -> {
			this.workers.handle(new RequestCancelled(requestId));
			ifInFlight(requestId, (exchange) -> {
				exchange.markResponseEnded();
				this.requests.removeIfEnded(exchange);
			});
		});
	}

	/**
	 * Adds a sink for the response of a request of this router.
	 * @param requestId id of the request
	 * @param sink receives the response from its first byte on
	 * @return whether the request is known
	 */
	public boolean joinResponse(RequestId requestId, ResponseSink sink) {
		Optional<ResponseRelay> relay = this.requests.findRelay(requestId);
		relay.ifPresent((found) -> found.addSink(sink));
		return relay.isPresent();
	}

	private void startAttempt(StartAttempt action) {
		Optional<RequestExchange> found = this.requests.find(action.requestId());
		if (found.isEmpty() || found.get().isAttemptCancelled(action.attempt())) {
			this.workers.submit(notSentEvent(action, "the request is over"));
			return;
		}
		RequestExchange exchange = found.get();
		Optional<byte[]> body = createRequestBody(action, exchange);
		if (body.isEmpty()) {
			this.workers.submit(notSentEvent(action, "the delivered bytes are not kept"));
			return;
		}
		if (action.kind() != AttemptKind.FRESH && action.offsetBytes() != exchange.relay().deliveredBytes()) {
			this.workers.submit(notSentEvent(action, "the offset is not that of the delivered bytes"));
			return;
		}
		RunningAttempt attempt = createAttempt(action, exchange, body.get());
		exchange.addAttempt(action.attempt(), attempt);
		this.workers.handle(new AttemptSending(action.requestId(), action.attempt()));
		attempt.send();
	}

	private RunningAttempt createAttempt(StartAttempt action, RequestExchange exchange, byte[] body) {
		return new RunningAttempt(action, exchange, this.workers, this.targets, body,
				() -> removeAttempt(action, exchange));
	}

	private void removeAttempt(StartAttempt action, RequestExchange exchange) {
		this.workers.run(action.requestId(), () -> {
			exchange.removeAttempt(action.attempt());
			this.requests.removeIfEnded(exchange);
		});
	}

	private static AttemptEnded notSentEvent(StartAttempt action, String detail) {
		return new AttemptEnded(action.requestId(), action.attempt(), AttemptResult.NOT_SENT, detail, Optional.empty());
	}

	private static Optional<byte[]> createRequestBody(StartAttempt action, RequestExchange exchange) {
		byte[] callerBody = exchange.payload().body();
		if (action.kind() != AttemptKind.CONTINUE) {
			return Optional.of(callerBody);
		}
		return exchange.relay().deliveredPrefix(action.offsetBytes()).map((prefix) -> concat(callerBody, prefix));
	}

	private static byte[] concat(byte[] first, byte[] second) {
		byte[] result = new byte[first.length + second.length];
		System.arraycopy(first, 0, result, 0, first.length);
		System.arraycopy(second, 0, result, first.length, second.length);
		return result;
	}

	private void cancelAttempt(CancelAttempt action) {
		ifInFlight(action.requestId(), (exchange) -> {
			exchange.markAttemptCancelled(action.attempt());
			exchange.findAttempt(action.attempt()).ifPresent((attempt) -> cancelAttempt(exchange, attempt));
		});
	}

	private void cancelAttempt(RequestExchange exchange, RunningAttempt attempt) {
		attempt.cancel();
		StartAttempt action = attempt.action();
		if (action.target().kind() == TargetKind.ENGINE) {
			attempt.generationId().ifPresent((id) -> this.targets.cancelGeneration(action.target(), id));
		}
		exchange.removeAttempt(action.attempt());
		this.requests.removeIfEnded(exchange);
	}

	private void forwardAttempt(ForwardAttempt action) {
		ifInFlight(action.requestId(),
				(exchange) -> exchange.findAttempt(action.attempt()).ifPresent(RunningAttempt::forward));
	}

	private void finishResponse(FinishAnswer action) {
		endResponse(action.requestId(), (exchange) -> exchange.relay().finish());
	}

	private void endResponse(RequestId requestId, Consumer<RequestExchange> endAction) {
		ifInFlight(requestId, (exchange) -> {
			endAction.accept(exchange);
			exchange.markResponseEnded();
			this.requests.removeIfEnded(exchange);
		});
	}

	private void joinHolderResponse(JoinAnswer action) {
		ifInFlight(action.requestId(), (exchange) -> {
			ResponseSink sink = new JoinSink(exchange, this.workers);
			if (!action.holderVm().equals(this.self)) {
				this.remoteResponses.fetch(action.holderVm(), action.holderRequestId(), sink);
			}
			else if (!joinResponse(action.holderRequestId(), sink)) {
				sink.abort(JoinSink.UNKNOWN_REQUEST);
			}
		});
	}

	private void ifInFlight(RequestId requestId, Consumer<RequestExchange> action) {
		Optional<RequestExchange> exchange = this.requests.find(requestId);
		if (exchange.isEmpty()) {
			logger.debug("Request {} is no longer in flight", requestId);
		}
		exchange.ifPresent(action);
	}

}
