package org.mustardlane.gateway.knowledge;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * The newest epoch that any response of the platform's log has stated.
 *
 * <p>
 * A new epoch means that the log was restored from an older copy. All followers then
 * start anew, also those that have not noticed an outage: the offsets that they would
 * read next may have been assigned again. Confined to the event loop of the daemon.
 */
public final class LogEpoch {

	private final List<Runnable> restorationListeners = new ArrayList<>();

	private OptionalLong current = OptionalLong.empty();

	/**
	 * Adds a listener.
	 * @param listener called after each restoration of the log
	 */
	public void addRestorationListener(Runnable listener) {
		this.restorationListeners.add(listener);
	}

	/**
	 * Records the epoch that a response states.
	 * @param epoch the epoch
	 * @return whether the response belongs to the epoch that was current before it; if
	 * not, its records must not be used
	 */
	boolean accept(long epoch) {
		if (this.current.isEmpty()) {
			this.current = OptionalLong.of(epoch);
		}
		boolean isRestored = epoch > this.current.getAsLong();
		if (isRestored) {
			this.current = OptionalLong.of(epoch);
			this.restorationListeners.forEach(Runnable::run);
		}
		return !isRestored && epoch == this.current.getAsLong();
	}

}
