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
 * Joins the results of catalogue changes with the operators who wait for them.
 *
 * <p>
 * Two calls with the same change id share one result. Thread-safe.
 */
public final class PendingPublishes {

	private final EventSink events;

	private final Map<String, CompletableFuture<PublishResult>> pending = new ConcurrentHashMap<>();

	/**
	 * Creates the table.
	 * @param events takes the changes
	 */
	public PendingPublishes(EventSink events) {
		this.events = events;
	}

	/**
	 * Takes the results over from the workers.
	 * @param table where the executor registers itself
	 */
	public void register(ActionTable table) {
		table.on(PublishEnded.class, this::ended);
	}

	/**
	 * Hands a change to the node.
	 * @param request the change
	 * @return the result to come
	 */
	CompletableFuture<PublishResult> publish(PublishRequested request) {
		CompletableFuture<PublishResult> result = new CompletableFuture<>();
		CompletableFuture<PublishResult> present = this.pending.putIfAbsent(request.change().changeId(), result);
		if (present != null) {
			return present;
		}
		this.events.submit(request);
		return result;
	}

	private void ended(PublishEnded ended) {
		CompletableFuture<PublishResult> result = this.pending.remove(ended.changeId());
		if (result != null) {
			result.complete(ended.result());
		}
	}

}
