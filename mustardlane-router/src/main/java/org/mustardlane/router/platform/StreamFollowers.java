package org.mustardlane.router.platform;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;

import org.mustardlane.core.event.AppendLog;
import org.mustardlane.core.event.FollowStream;
import org.mustardlane.core.event.UnfollowStream;
import org.mustardlane.core.model.log.StreamName;
import org.mustardlane.router.worker.ActionTable;
import org.mustardlane.router.worker.EventSink;

/**
 * Executes the actions that append to and read from the log of the platform.
 *
 * <p>
 * Thread-safe.
 */
public final class StreamFollowers {

	private final PlatformClient platform;

	private final EventSink events;

	private final ScheduledExecutorService scheduler;

	private final Map<StreamName, StreamFollower> followers = new ConcurrentHashMap<>();

	/**
	 * Creates an executor that does not follow any stream yet.
	 * @param platform client of the platform
	 * @param events receives the records read and the results of appends
	 * @param scheduler schedules retries
	 */
	public StreamFollowers(PlatformClient platform, EventSink events, ScheduledExecutorService scheduler) {
		this.platform = platform;
		this.events = events;
		this.scheduler = scheduler;
	}

	/**
	 * Registers the handlers of the log actions.
	 * @param table the table to register with
	 */
	public void register(ActionTable table) {
		table.on(AppendLog.class, this::append)
			.on(FollowStream.class, this::follow)
			.on(UnfollowStream.class, (action) -> stop(action.stream()));
	}

	private void append(AppendLog action) {
		this.platform.append(action).thenAccept(this.events::submit);
	}

	private void follow(FollowStream action) {
		StreamFollower follower = new StreamFollower(this.platform, this.events, this.scheduler, action);
		StreamFollower previous = this.followers.put(action.stream(), follower);
		if (previous != null) {
			previous.stop();
		}
		follower.poll();
	}

	private void stop(StreamName stream) {
		StreamFollower follower = this.followers.remove(stream);
		if (follower != null) {
			follower.stop();
		}
	}

	/**
	 * Stops reading all streams.
	 */
	public void stopAll() {
		this.followers.keySet().forEach(this::stop);
	}

}
