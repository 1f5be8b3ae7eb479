package org.mustardlane.core.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mustardlane.core.model.common.PoolId;

/**
 * The software versions that the targets of each pool have, or had in the recent past.
 *
 * <p>
 * Not thread-safe.
 */
public final class PoolVersions {

	private final Map<PoolVersion, Long> lastSeenMillis = new HashMap<>();

	/**
	 * Records the versions that targets have now.
	 * @param current versions by pool
	 * @param nowMillis the current time
	 */
	public void observe(Map<PoolId, Set<String>> current, long nowMillis) {
		current.forEach((pool, versions) -> versions
			.forEach((version) -> this.lastSeenMillis.put(new PoolVersion(pool, version), nowMillis)));
	}

	/**
	 * Records a version that another router has seen, at the latest now.
	 * @param version the version
	 * @param nowMillis the current time
	 */
	public void addRecent(PoolVersion version, long nowMillis) {
		this.lastSeenMillis.put(version, nowMillis);
	}

	/**
	 * Removes the versions that were last seen before any stream that callers may still
	 * take up.
	 * @param nowMillis the current time
	 * @return the removed versions
	 */
	public List<PoolVersion> removeExpired(long nowMillis) {
		List<PoolVersion> expired = new ArrayList<>();
		this.lastSeenMillis.forEach((version, seenMillis) -> {
			if (nowMillis - seenMillis > StreamOrigins.RETENTION_MILLIS) {
				expired.add(version);
			}
		});
		expired.forEach(this.lastSeenMillis::remove);
		return expired;
	}

	/**
	 * Returns whether streams of a pool may have begun at different versions.
	 * @param pool the pool
	 * @return true if several versions are known
	 */
	public boolean isMixed(PoolId pool) {
		return versionsOf(pool).size() > 1;
	}

	/**
	 * Returns the version at which all streams of a pool have begun.
	 * @param pool the pool
	 * @return the version, or empty if several versions or none are known
	 */
	public Optional<PoolVersion> onlyVersion(PoolId pool) {
		List<PoolVersion> versions = versionsOf(pool);
		return (versions.size() == 1) ? Optional.of(versions.get(0)) : Optional.empty();
	}

	/**
	 * Returns all known versions.
	 * @return an immutable copy
	 */
	public Set<PoolVersion> all() {
		return Set.copyOf(this.lastSeenMillis.keySet());
	}

	private List<PoolVersion> versionsOf(PoolId pool) {
		return this.lastSeenMillis.keySet().stream().filter((version) -> version.pool().equals(pool)).toList();
	}

}
