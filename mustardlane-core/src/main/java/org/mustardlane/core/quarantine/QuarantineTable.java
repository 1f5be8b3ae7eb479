package org.mustardlane.core.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The quarantines in force.
 *
 * <p>
 * Not thread-safe.
 */
public final class QuarantineTable {

	/**
	 * Each call is compared with all quarantines.
	 */
	private static final int MAX_QUARANTINES = 64;

	private final Map<Set<CallFeature>, Quarantine> quarantines = new HashMap<>();

	/**
	 * Adds a quarantine. Of two for the same features, the one that ends later stays.
	 * Above a maximum number, the one that ends first is dropped.
	 * @param quarantine the quarantine
	 * @param nowUnixMillis the current time of the wall clock
	 * @return whether its features were not quarantined before
	 */
	public boolean add(Quarantine quarantine, long nowUnixMillis) {
		removeEnded(nowUnixMillis);
		if (quarantine.endUnixMillis() <= nowUnixMillis) {
			return false;
		}
		boolean isNew = !this.quarantines.containsKey(quarantine.features());
		this.quarantines.merge(quarantine.features(), quarantine,
				(known, added) -> (added.endUnixMillis() > known.endUnixMillis()) ? added : known);
		if (this.quarantines.size() > MAX_QUARANTINES) {
			this.quarantines.values()
				.stream()
				.min(Comparator.comparingLong(Quarantine::endUnixMillis))
				.map(Quarantine::features)
				.ifPresent(this.quarantines::remove);
		}
		return isNew;
	}

	private void removeEnded(long nowUnixMillis) {
		this.quarantines.values().removeIf((quarantine) -> quarantine.endUnixMillis() <= nowUnixMillis);
	}

	/**
	 * Finds the quarantine that applies to a call.
	 * @param features the features of the call
	 * @param nowUnixMillis the current time of the wall clock
	 * @return the quarantine that ends last, or empty if the call may be sent
	 */
	public Optional<Quarantine> find(List<CallFeature> features, long nowUnixMillis) {
		if (this.quarantines.isEmpty() || features.isEmpty()) {
			return Optional.empty();
		}
		return this.quarantines.values()
			.stream()
			.filter((quarantine) -> quarantine.endUnixMillis() > nowUnixMillis && quarantine.matches(features))
			.max(Comparator.comparingLong(Quarantine::endUnixMillis));
	}

	/**
	 * Returns the quarantines in force.
	 * @param nowUnixMillis the current time of the wall clock
	 * @return an immutable copy
	 */
	public List<Quarantine> active(long nowUnixMillis) {
		removeEnded(nowUnixMillis);
		return List.copyOf(this.quarantines.values());
	}

}
