package org.mustardlane.cli;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.mustardlane.protocol.PeerStatus;
import org.mustardlane.protocol.StatusAnswer;

/**
 * On how many routers a revision is in force.
 *
 * @param routers routers that have the revision in force
 * @param ofRouters routers that live
 * @param afterMillis time since the change was accepted
 */
record InForce(int routers, int ofRouters, long afterMillis) {

	/**
	 * The place of a change that was not accepted.
	 */
	static final InForce NOWHERE = new InForce(0, 0, 0);

	private static final long POLL_INTERVAL_MILLIS = 25;

	private static final long STATUS_TIMEOUT_MILLIS = 1_000;

	boolean isEverywhere() {
		return this.routers == this.ofRouters;
	}

	/**
	 * Asks the routers until all that live have the revision, or time is up. Routers that
	 * the operator did not name are counted by what the named ones have heard of them.
	 * @param pool the routers
	 * @param revision the revision
	 * @param timeoutMillis longest wait
	 * @return the last count
	 * @throws CommandException if no router answers
	 */
	static InForce await(RouterPool pool, long revision, long timeoutMillis) throws CommandException {
		long startNanos = System.nanoTime();
		while (true) {
			List<StatusAnswer> answers = pool.all((client) -> client.status(STATUS_TIMEOUT_MILLIS));
			long afterMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
			InForce count = count(answers, revision, afterMillis);
			if (count.isEverywhere() || afterMillis >= timeoutMillis || !pause()) {
				return count;
			}
		}
	}

	private static boolean pause() {
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
	 * Counts the routers of several answers, each router once.
	 * @param answers the answers
	 * @param revision the revision
	 * @param afterMillis time since the change was accepted
	 * @return the count
	 */
	static InForce count(List<StatusAnswer> answers, long revision, long afterMillis) {
		Map<String, Long> revisions = new HashMap<>();
		for (StatusAnswer answer : answers) {
			revisions.merge(answer.getVm(), answer.getCatalogueRevision(), Math::max);
			answer.getPeersList()
				.stream()
				.filter(PeerStatus::getAlive)
				.forEach((peer) -> revisions.merge(peer.getVm(), peer.getCatalogueRevision(), Math::max));
		}
		long current = revisions.values().stream().filter((known) -> known >= revision).count();
		return new InForce((int) current, revisions.size(), afterMillis);
	}

}
