package org.mustardlane.router.target;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.mustardlane.core.model.execution.AttemptResult;
import org.mustardlane.router.answer.AnswerHead;

/**
 * Keeps what becomes of an attempt.
 */
final class RecordingObserver implements AttemptObserver {

	private static final int PATIENCE_SECONDS = 30;

	private final CompletableFuture<AnswerHead> head = new CompletableFuture<>();

	private final CompletableFuture<AttemptResult> end = new CompletableFuture<>();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private volatile Optional<String> generationId = Optional.empty();

	private volatile boolean holdBack;

	private volatile Runnable held = () -> {
	};

	@Override
	public void headReceived(AnswerHead answerHead, Optional<String> generation) {
		this.generationId = generation;
		this.head.complete(answerHead);
	}

	@Override
	public void partReceived(byte[] part, long totalBytes, Runnable ready) {
		synchronized (this.body) {
			this.body.writeBytes(part);
		}
		if (this.holdBack) {
			this.held = ready;
		}
		else {
			ready.run();
		}
	}

	@Override
	public void ended(AttemptResult how, String detail) {
		if (!this.end.complete(how)) {
			throw new AssertionError("ended twice");
		}
	}

	void holdBack() {
		this.holdBack = true;
	}

	void letGo() {
		this.holdBack = false;
		this.held.run();
	}

	AnswerHead head() throws Exception {
		return this.head.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
	}

	boolean hasHead() {
		return this.head.isDone();
	}

	AttemptResult end() throws Exception {
		return this.end.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
	}

	boolean hasEnded() {
		return this.end.isDone();
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
