package org.mustardlane.cli;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.mustardlane.protocol.PeerStatus;
import org.mustardlane.protocol.StatusAnswer;

/**
 * The progress of a revision: the number of routers on which it is in force.
 *
 * @param routers number of routers on which the revision is in force
 * @param ofRouters number of all reachable routers
 * @param afterMillis time from the acceptance of the change to this count
 */
record Rollout(int routers, int ofRouters, long afterMillis) {

	/**
	 * The progress of a change that was not accepted.
	 */
	static final Rollout NONE = new Rollout(0, 0, 0);

	private static final long POLL_INTERVAL_MILLIS = 25;

	private static final long STATUS_TIMEOUT_MILLIS = 1_000;

	boolean isComplete() {
		return this.routers == this.ofRouters;
	}

	/**
	 * Polls the routers until the revision is in force on all reachable routers or the
	 * timeout has passed. Routers that the operator did not name are counted from the
	 * reports of the named routers.
	 * @param pool clients for the named routers
	 * @param revision the revision
	 * @param timeoutMillis maximum time to wait
	 * @return the result of the last poll
	 * @throws CommandException if no router replies
	 */
	static Rollout await(RouterPool pool, long revision, long timeoutMillis) throws CommandException {
		long startNanos = System.nanoTime();
		while (true) {
			List<StatusAnswer> replies = pool.callAll((client) -> client.status(STATUS_TIMEOUT_MILLIS));
			long afterMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
			Rollout rollout = count(replies, revision, afterMillis);
			if (rollout.isComplete() || afterMillis >= timeoutMillis || !sleepUntilNextPoll()) {
				return rollout;
			}
		}
	}

	private static boolean sleepUntilNextPoll() {
		try {
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Counts the routers in several status replies, each router once.
	 * @param replies status replies of the named routers
	 * @param revision the revision
	 * @param afterMillis time from the acceptance of the change to this count
	 * @return the progress
	 */
	static Rollout count(List<StatusAnswer> replies, long revision, long afterMillis) {
		Map<String, Long> revisions = new HashMap<>();
		for (StatusAnswer reply : replies) {
			revisions.merge(reply.getVm(), reply.getCatalogueRevision(), Math::max);
			reply.getPeersList()
				.stream()
				.filter(PeerStatus::getAlive)
				.forEach((peer) -> revisions.merge(peer.getVm(), peer.getCatalogueRevision(), Math::max));
		}
		long upToDateRouters = revisions.values()
			.stream()
			.filter((routerRevision) -> routerRevision >= revision)
			.count();
		return new Rollout((int) upToDateRouters, revisions.size(), afterMillis);
	}

}
