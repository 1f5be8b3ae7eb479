package org.mustardlane.router.peer;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;

import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.protocol.AnswerChunk;
import org.mustardlane.router.answer.ResponseHead;
import org.mustardlane.router.answer.ResponseSink;

/**
 * Sends the response to a request of this router to another router that has joined the
 * request.
 *
 * <p>
 * Thread-safe.
 */
final class ChunkSender implements ResponseSink {

	private final ServerCallStreamObserver<AnswerChunk> call;

	private Runnable pendingReady = ChunkSender::doNothing;

	ChunkSender(ServerCallStreamObserver<AnswerChunk> call) {
		this.call = call;
		call.setOnReadyHandler(this::transportReady);
		call.setOnCancelHandler(ChunkSender::doNothing);
	}

	private static void doNothing() {
	}

	@Override
	public synchronized void begin(ResponseHead head) {
		send(AnswerChunk.newBuilder().setStatus(head.status()).setContentType(head.contentType()).build());
	}

	@Override
	public void write(byte[] part, Runnable onReady) {
		boolean isReady;
		synchronized (this) {
			send(AnswerChunk.newBuilder().setData(ByteString.copyFrom(part)).build());
			isReady = this.call.isReady() || this.call.isCancelled();
			if (!isReady) {
				this.pendingReady = onReady;
			}
		}
		if (isReady) {
			onReady.run();
		}
	}

	@Override
	public synchronized void finish() {
		send(AnswerChunk.newBuilder().setWhole(true).build());
		if (!this.call.isCancelled()) {
			this.call.onCompleted();
		}
	}

	@Override
	public synchronized void abort(Refusal refusal) {
		if (!this.call.isCancelled()) {
			this.call.onError(Status.ABORTED.withDescription(refusal.message()).asRuntimeException());
		}
	}

	private void send(AnswerChunk chunk) {
		if (!this.call.isCancelled()) {
			this.call.onNext(chunk);
		}
	}

	private void transportReady() {
		Runnable readyCallback;
		synchronized (this) {
			readyCallback = this.pendingReady;
			this.pendingReady = ChunkSender::doNothing;
		}
		readyCallback.run();
	}

}
