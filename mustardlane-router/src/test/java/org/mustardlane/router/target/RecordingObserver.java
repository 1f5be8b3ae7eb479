package org.mustardlane.router.target;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.mustardlane.core.model.execution.AttemptResult;
import org.mustardlane.router.answer.ResponseHead;

/**
 * Records the progress and the result of an attempt.
 */
final class RecordingObserver implements AttemptObserver {

	private static final int TIMEOUT_SECONDS = 30;

	private final CompletableFuture<ResponseHead> head = new CompletableFuture<>();

	private final CompletableFuture<AttemptResult> result = new CompletableFuture<>();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private volatile Optional<String> generationId = Optional.empty();

	private volatile boolean paused;

	private volatile Runnable pendingReady = () -> {
	};

	@Override
	public void headReceived(ResponseHead responseHead, Optional<String> id) {
		this.generationId = id;
		this.head.complete(responseHead);
	}

	@Override
	public void partReceived(byte[] part, long totalBytes, Runnable onReady) {
		synchronized (this.body) {
			this.body.writeBytes(part);
		}
		if (this.paused) {
			this.pendingReady = onReady;
		}
		else {
			onReady.run();
		}
	}

	@Override
	public void attemptEnded(AttemptResult attemptResult, String detail) {
		if (!this.result.complete(attemptResult)) {
			throw new AssertionError("the attempt ended twice");
		}
	}

	void pause() {
		this.paused = true;
	}

	void resume() {
		this.paused = false;
		this.pendingReady.run();
	}

	ResponseHead head() throws Exception {
		return this.head.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	boolean hasHead() {
		return this.head.isDone();
	}

	AttemptResult result() throws Exception {
		return this.result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	boolean hasEnded() {
		return this.result.isDone();
	}

	Optional<String> generationId() {
		return this.generationId;
	}

	String body() {
		synchronized (this.body) {
			return this.body.toString();
		}
	}

	int bodyBytes() {
		synchronized (this.body) {
			return this.body.size();
		}
	}

}
