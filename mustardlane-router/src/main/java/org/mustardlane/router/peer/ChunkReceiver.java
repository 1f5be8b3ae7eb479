package org.mustardlane.router.peer;

import java.util.OptionalLong;

import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;

import org.mustardlane.core.model.execution.Outcome;
import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.core.model.execution.RefusalCode;
import org.mustardlane.protocol.AnswerChunk;
import org.mustardlane.protocol.JoinAnswerRequest;
import org.mustardlane.router.answer.AnswerHead;
import org.mustardlane.router.answer.AnswerReader;

/**
 * Reads the answer that another router produces, one chunk at a time.
 */
final class ChunkReceiver implements ClientResponseObserver<JoinAnswerRequest, AnswerChunk> {

	/**
	 * Says that the other router did not give the whole answer.
	 */
	static final Refusal BROKEN = new Refusal(Outcome.UNKNOWN, RefusalCode.HOLDER_GONE,
			"the router that produces the answer is gone", 0);

	private final AnswerReader reader;

	private boolean begun;

	private boolean whole;

	private boolean ended;

	private Runnable requestNext = () -> {
	};

	ChunkReceiver(AnswerReader reader) {
		this.reader = reader;
	}

	@Override
	public void beforeStart(ClientCallStreamObserver<JoinAnswerRequest> call) {
		call.disableAutoRequestWithInitial(1);
		this.requestNext = () -> call.request(1);
	}

	@Override
	public void onNext(AnswerChunk chunk) {
		if (!this.begun) {
			this.begun = true;
			this.reader.begin(new AnswerHead(chunk.getStatus(), chunk.getContentType(), OptionalLong.empty()));
		}
		this.whole = chunk.getWhole();
		if (chunk.getData().isEmpty()) {
			this.requestNext.run();
		}
		else {
			this.reader.write(chunk.getData().toByteArray(), this.requestNext);
		}
	}

	@Override
	public void onError(Throwable failure) {
		if (!this.ended) {
			this.ended = true;
			this.reader.abort(BROKEN);
		}
	}

	@Override
	public void onCompleted() {
		if (!this.ended) {
			this.ended = true;
			end();
		}
	}

	private void end() {
		if (this.whole) {
			this.reader.finish();
		}
		else {
			this.reader.abort(BROKEN);
		}
	}

}
