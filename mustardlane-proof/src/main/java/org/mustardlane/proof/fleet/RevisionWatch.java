package org.mustardlane.proof.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Polls the catalogue revision of all routers and records each decrease.
 */
public final class RevisionWatch implements AutoCloseable {

	private static final int PERIOD_MILLIS = 100;

	private final Fleet fleet;

	private final Map<Long, Long> highest = new HashMap<>();

	private final List<String> reversions = Collections.synchronizedList(new ArrayList<>());

	private final Thread thread = new Thread(this::run, "revision-watch");

	private volatile boolean stopped;

	/**
	 * Starts polling.
	 * @param fleet the fleet to poll
	 */
	public RevisionWatch(Fleet fleet) {
		this.fleet = fleet;
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * Returns the recorded decreases.
	 * @return one description for each decrease
	 */
	public List<String> reversions() {
		return List.copyOf(this.reversions);
	}

	@Override
	public void close() {
		this.stopped = true;
	}

	private void run() {
		try {
			while (!this.stopped) {
				this.fleet.liveRouters().forEach(this::read);
				Waiting.pause(PERIOD_MILLIS);
			}
		}
		catch (FleetException ex) {
			// The thread was interrupted, so that polling ends.
		}
	}

	private void read(RouterHandle router) {
		try (OperatorClient client = new OperatorClient(router.operatorPort())) {
			long revision = client.status().getCatalogueRevision();
			long before = this.highest.getOrDefault(router.process().pid(), 0L);
			if (revision < before) {
				this.reversions.add("the catalogue revision of %s decreased from %d to %d".formatted(router.vm(),
						before, revision));
			}
			this.highest.put(router.process().pid(), Math.max(before, revision));
		}
		catch (FleetException ex) {
			// The router has exited or is frozen.
		}
	}

}
