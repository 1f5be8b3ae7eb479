package org.mustardlane.core.stream;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.testng.annotations.Test;

import org.mustardlane.core.model.common.PoolId;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link PoolVersions}.
 */
public class PoolVersionsTests {

	private static final PoolId POOL = new PoolId("pool");

	private static final PoolVersion OLD = new PoolVersion(POOL, "v1");

	private static final PoolVersion NEW = new PoolVersion(POOL, "v2");

	private final PoolVersions versions = new PoolVersions();

	@Test
	public void poolWithOneVersionIsNotMixed() {
		PoolVersions single = new PoolVersions();
		single.observe(Map.of(POOL, Set.of("v1"), new PoolId("other"), Set.of("v2")), 0);
		assertFalse(single.isMixed(POOL));
		assertEquals(single.onlyVersion(POOL), Optional.of(OLD));
	}

	@Test
	public void poolIsMixedUntilTheStreamsOfTheOldVersionHaveEnded() {
		this.versions.observe(Map.of(POOL, Set.of("v1")), 0);
		this.versions.observe(Map.of(POOL, Set.of("v2")), 10);
		assertEquals(this.versions.removeExpired(StreamOrigins.RETENTION_MILLIS), List.of());
		assertTrue(this.versions.isMixed(POOL));
		assertEquals(this.versions.onlyVersion(POOL), Optional.empty());
		assertEquals(this.versions.removeExpired(StreamOrigins.RETENTION_MILLIS + 1), List.of(OLD));
		assertEquals(this.versions.onlyVersion(POOL), Optional.of(NEW));
	}

	@Test
	public void unknownPoolHasNoVersion() {
		assertEquals(new PoolVersions().onlyVersion(POOL), Optional.empty());
	}

}
