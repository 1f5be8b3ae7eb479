package org.mustardlane.router.peer;

import java.util.OptionalLong;

import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;

import org.mustardlane.core.model.execution.Outcome;
import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.core.model.execution.RefusalCode;
import org.mustardlane.protocol.AnswerChunk;
import org.mustardlane.protocol.JoinAnswerRequest;
import org.mustardlane.router.answer.ResponseHead;
import org.mustardlane.router.answer.ResponseSink;

/**
 * Receives the response to a joined request from another router and writes it to a sink,
 * one chunk at a time.
 */
final class ChunkReceiver implements ClientResponseObserver<JoinAnswerRequest, AnswerChunk> {

	/**
	 * Refusal for a response that the other router did not send to its end.
	 */
	static final Refusal INCOMPLETE_RESPONSE = new Refusal(Outcome.UNKNOWN, RefusalCode.HOLDER_GONE,
			"the router that produces the answer is gone", 0);

	private final ResponseSink sink;

	private boolean headReceived;

	private boolean complete;

	private boolean ended;

	private Runnable requestNext = () -> {
	};

	ChunkReceiver(ResponseSink sink) {
		this.sink = sink;
	}

	@Override
	public void beforeStart(ClientCallStreamObserver<JoinAnswerRequest> call) {
		call.disableAutoRequestWithInitial(1);
		this.requestNext = () -> call.request(1);
	}

	@Override
	public void onNext(AnswerChunk chunk) {
		if (!this.headReceived) {
			this.headReceived = true;
			this.sink.begin(new ResponseHead(chunk.getStatus(), chunk.getContentType(), OptionalLong.empty()));
		}
		this.complete = chunk.getWhole();
		if (chunk.getData().isEmpty()) {
			this.requestNext.run();
		}
		else {
			this.sink.write(chunk.getData().toByteArray(), this.requestNext);
		}
	}

	@Override
	public void onError(Throwable failure) {
		if (!this.ended) {
			this.ended = true;
			this.sink.abort(INCOMPLETE_RESPONSE);
		}
	}

	@Override
	public void onCompleted() {
		if (!this.ended) {
			this.ended = true;
			finishOrAbort();
		}
	}

	private void finishOrAbort() {
		if (this.complete) {
			this.sink.finish();
		}
		else {
			this.sink.abort(INCOMPLETE_RESPONSE);
		}
	}

}
