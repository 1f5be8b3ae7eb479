package org.mustardlane.proof.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Polls the catalogue revision of all routers and records each decrease.
 */
public final class RevisionMonitor implements AutoCloseable {

	private static final int POLL_INTERVAL_MILLIS = 100;

	private final Fleet fleet;

	private final Map<Long, Long> highestRevisionsByPid = new HashMap<>();

	private final List<String> decreases = Collections.synchronizedList(new ArrayList<>());

	private final Thread thread = new Thread(this::pollRouters, "revision-watch");

	private volatile boolean stopped;

	/**
	 * Starts polling.
	 * @param fleet the fleet to poll
	 */
	public RevisionMonitor(Fleet fleet) {
		this.fleet = fleet;
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * Returns the recorded decreases.
	 * @return one description for each decrease
	 */
	public List<String> decreases() {
		return List.copyOf(this.decreases);
	}

	@Override
	public void close() {
		this.stopped = true;
	}

	private void pollRouters() {
		try {
			while (!this.stopped) {
				this.fleet.runningRouters().forEach(this::checkRevision);
				WaitUtils.sleep(POLL_INTERVAL_MILLIS);
			}
		}
		catch (FleetException ex) {
			// The thread was interrupted, so that polling ends.
		}
	}

	private void checkRevision(RouterHandle router) {
		try (OperatorClient client = new OperatorClient(router.operatorPort())) {
			long revision = client.status().getCatalogueRevision();
			long highestRevision = this.highestRevisionsByPid.getOrDefault(router.process().pid(), 0L);
			if (revision < highestRevision) {
				this.decreases.add("the catalogue revision of %s decreased from %d to %d".formatted(router.vm(),
						highestRevision, revision));
			}
			this.highestRevisionsByPid.put(router.process().pid(), Math.max(highestRevision, revision));
		}
		catch (FleetException ex) {
			// The router has exited or is frozen.
		}
	}

}
