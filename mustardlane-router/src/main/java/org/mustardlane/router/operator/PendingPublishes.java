package org.mustardlane.router.operator;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.mustardlane.core.event.PublishEnded;
import org.mustardlane.core.event.PublishRequested;
import org.mustardlane.core.model.catalogue.PublishResult;
import org.mustardlane.router.worker.ActionTable;
import org.mustardlane.router.worker.EventSink;

/**
 * Tracks catalogue changes that were submitted to the node until their results arrive.
 *
 * <p>
 * Concurrent calls with the same change id share one submission and its result.
 * Thread-safe.
 */
public final class PendingPublishes {

	private final EventSink events;

	private final Map<String, CompletableFuture<PublishResult>> pending = new ConcurrentHashMap<>();

	/**
	 * Creates an instance without pending changes.
	 * @param events receives the changes
	 */
	public PendingPublishes(EventSink events) {
		this.events = events;
	}

	/**
	 * Registers the handler of publish results.
	 * @param table the table to register with
	 */
	public void register(ActionTable table) {
		table.on(PublishEnded.class, this::complete);
	}

	/**
	 * Submits a change to the node unless a change with the same id is already pending.
	 * @param request the change and its deadline
	 * @return completes with the result of the change
	 */
	CompletableFuture<PublishResult> publish(PublishRequested request) {
		CompletableFuture<PublishResult> result = new CompletableFuture<>();
		CompletableFuture<PublishResult> existing = this.pending.putIfAbsent(request.change().changeId(), result);
		if (existing != null) {
			return existing;
		}
		this.events.submit(request);
		return result;
	}

	private void complete(PublishEnded action) {
		CompletableFuture<PublishResult> result = this.pending.remove(action.changeId());
		if (result != null) {
			result.complete(action.result());
		}
	}

}
