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
 * Carries out the actions that concern the log.
 *
 * <p>
 * Thread-safe.
 */
public final class StreamFollowers {

	private final PlatformClient platform;

	private final EventSink events;

	private final ScheduledExecutorService timer;

	private final Map<StreamName, StreamFollower> followers = new ConcurrentHashMap<>();

	/**
	 * Creates the executor.
	 * @param platform the platform
	 * @param events takes what is read
	 * @param timer runs retries
	 */
	public StreamFollowers(PlatformClient platform, EventSink events, ScheduledExecutorService timer) {
		this.platform = platform;
		this.events = events;
		this.timer = timer;
	}

	/**
	 * Takes the actions that concern the log over from the workers.
	 * @param table where the executor registers itself
	 */
	public void register(ActionTable table) {
		table.on(AppendLog.class, this::append)
			.on(FollowStream.class, this::follow)
			.on(UnfollowStream.class, (unfollow) -> stop(unfollow.stream()));
	}

	private void append(AppendLog append) {
		this.platform.append(append).thenAccept(this.events::submit);
	}

	private void follow(FollowStream follow) {
		StreamFollower follower = new StreamFollower(this.platform, this.events, this.timer, follow);
		StreamFollower former = this.followers.put(follow.stream(), follower);
		if (former != null) {
			former.stop();
		}
		follower.read();
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
