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
import org.mustardlane.router.answer.AnswerReader;
import org.mustardlane.router.answer.AnswerRelay;
import org.mustardlane.router.caller.CallerListener;
import org.mustardlane.router.caller.CallerResponse;
import org.mustardlane.router.caller.RequestPayload;
import org.mustardlane.router.target.TargetClient;
import org.mustardlane.router.worker.ActionTable;
import org.mustardlane.router.worker.WorkerPool;

/**
 * Carries out the actions that concern requests, and hands requests to the node.
 *
 * <p>
 * The actions of one request run on its worker. Thread-safe.
 */
public final class RequestActions implements CallerListener {

	private static final Logger logger = LogManager.getLogger(RequestActions.class);

	private final RequestTable requests = new RequestTable();

	private final VmId self;

	private final TargetClient targets;

	private final RemoteJoins remoteJoins;

	private final int copyBytesLimit;

	private WorkerPool workers;

	/**
	 * Creates the executor.
	 * @param self this router
	 * @param targets sends attempts
	 * @param remoteJoins fetches responses from other routers
	 * @param copyBytesLimit largest response of which a copy is kept while it runs
	 */
	public RequestActions(VmId self, TargetClient targets, RemoteJoins remoteJoins, int copyBytesLimit) {
		this.self = self;
		this.targets = targets;
		this.remoteJoins = remoteJoins;
		this.copyBytesLimit = copyBytesLimit;
	}

	/**
	 * Takes the actions that concern requests over from the workers.
	 * @param table where the executor registers itself
	 * @param pool the workers
	 */
	public void register(ActionTable table, WorkerPool pool) {
		this.workers = pool;
		table.on(StartAttempt.class, this::start)
			.on(CancelAttempt.class, this::cancel)
			.on(ForwardAttempt.class, this::forward)
			.on(FinishAnswer.class, this::finish)
			.on(AbortAnswer.class,
					(abort) -> end(abort.requestId(), (exchange) -> exchange.relay().abort(abort.refusal())))
			.on(RefuseRequest.class,
					(refuse) -> end(refuse.requestId(), (exchange) -> exchange.relay().abort(refuse.refusal())))
			.on(SendStoredAnswer.class,
					(stored) -> end(stored.requestId(), (exchange) -> exchange.response().send(stored.answer())))
			.on(KeepAnswer.class, (keep) -> with(keep.requestId(), (exchange) -> exchange.keep(keep.limitBytes())))
			.on(JoinAnswer.class, this::join);
	}

	/**
	 * Returns how many requests are in flight.
	 * @return the number
	 */
	public int inFlight() {
		return this.requests.size();
	}

	@Override
	public void requestArrived(RequestId requestId, CallerRequest request, RequestPayload payload,
			CallerResponse response) {
		this.requests.add(new RequestExchange(requestId, request, payload, response, this.copyBytesLimit));
		this.workers.submit(new RequestArrived(requestId, request));
	}

	@Override
	public void callerGone(RequestId requestId) {
		this.workers.run(requestId, () -> {
			this.workers.handle(new RequestCancelled(requestId));
			with(requestId, (exchange) -> {
				exchange.markAnswered();
				this.requests.removeIfOver(exchange);
			});
		});
	}

	/**
	 * Lets another router have the response of a request of this one.
	 * @param requestId the request
	 * @param reader takes the response
	 * @return whether the request is known
	 */
	public boolean serveJoin(RequestId requestId, AnswerReader reader) {
		Optional<AnswerRelay> answer = this.requests.findForJoin(requestId);
		answer.ifPresent((relay) -> relay.join(reader));
		return answer.isPresent();
	}

	private void start(StartAttempt start) {
		Optional<RequestExchange> found = this.requests.find(start.requestId());
		if (found.isEmpty() || found.get().isCancelled(start.attempt())) {
			this.workers.submit(notSent(start, "the request is over"));
			return;
		}
		RequestExchange exchange = found.get();
		Optional<byte[]> body = body(start, exchange);
		if (body.isEmpty()) {
			this.workers.submit(notSent(start, "the delivered bytes are not kept"));
			return;
		}
		if (start.kind() != AttemptKind.FRESH && start.offsetBytes() != exchange.relay().deliveredBytes()) {
			this.workers.submit(notSent(start, "the offset is not that of the delivered bytes"));
			return;
		}
		RunningAttempt running = running(start, exchange, body.get());
		exchange.add(start.attempt(), running);
		this.workers.handle(new AttemptSending(start.requestId(), start.attempt()));
		running.send();
	}

	private RunningAttempt running(StartAttempt start, RequestExchange exchange, byte[] body) {
		return new RunningAttempt(start, exchange, this.workers, this.targets, body, () -> ended(start, exchange));
	}

	private void ended(StartAttempt start, RequestExchange exchange) {
		this.workers.run(start.requestId(), () -> {
			exchange.remove(start.attempt());
			this.requests.removeIfOver(exchange);
		});
	}

	private static AttemptEnded notSent(StartAttempt start, String detail) {
		return new AttemptEnded(start.requestId(), start.attempt(), AttemptResult.NOT_SENT, detail, Optional.empty());
	}

	private static Optional<byte[]> body(StartAttempt start, RequestExchange exchange) {
		byte[] callerBody = exchange.payload().body();
		if (start.kind() != AttemptKind.CONTINUE) {
			return Optional.of(callerBody);
		}
		return exchange.relay().delivered(start.offsetBytes()).map((delivered) -> concat(callerBody, delivered));
	}

	private static byte[] concat(byte[] first, byte[] second) {
		byte[] all = new byte[first.length + second.length];
		System.arraycopy(first, 0, all, 0, first.length);
		System.arraycopy(second, 0, all, first.length, second.length);
		return all;
	}

	private void cancel(CancelAttempt cancel) {
		with(cancel.requestId(), (exchange) -> {
			exchange.cancel(cancel.attempt());
			exchange.find(cancel.attempt()).ifPresent((running) -> cancel(exchange, running));
		});
	}

	private void cancel(RequestExchange exchange, RunningAttempt running) {
		running.cancel();
		StartAttempt start = running.start();
		if (start.target().kind() == TargetKind.ENGINE) {
			running.generationId().ifPresent((id) -> this.targets.cancelGeneration(start.target(), id));
		}
		exchange.remove(start.attempt());
		this.requests.removeIfOver(exchange);
	}

	private void forward(ForwardAttempt forward) {
		with(forward.requestId(), (exchange) -> exchange.find(forward.attempt()).ifPresent(RunningAttempt::forward));
	}

	private void finish(FinishAnswer finish) {
		end(finish.requestId(), (exchange) -> exchange.relay().finish());
	}

	private void end(RequestId requestId, Consumer<RequestExchange> lastWord) {
		with(requestId, (exchange) -> {
			lastWord.accept(exchange);
			exchange.markAnswered();
			this.requests.removeIfOver(exchange);
		});
	}

	private void join(JoinAnswer join) {
		with(join.requestId(), (exchange) -> {
			AnswerReader reader = new JoinedAnswer(exchange, this.workers);
			if (!join.holderVm().equals(this.self)) {
				this.remoteJoins.join(join.holderVm(), join.holderRequestId(), reader);
			}
			else if (!serveJoin(join.holderRequestId(), reader)) {
				reader.abort(JoinedAnswer.UNKNOWN_REQUEST);
			}
		});
	}

	private void with(RequestId requestId, Consumer<RequestExchange> action) {
		Optional<RequestExchange> exchange = this.requests.find(requestId);
		if (exchange.isEmpty()) {
			logger.debug("Request {} is over", requestId);
		}
		exchange.ifPresent(action);
	}

}
