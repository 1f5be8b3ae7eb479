package org.mustardlane.core.stream;

import java.util.Optional;

import org.testng.annotations.Test;

import org.mustardlane.core.model.common.PoolId;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link StreamOrigins}.
 */
public class StreamOriginsTests {

	private static final PoolVersion FIRST = new PoolVersion(new PoolId("pool"), "v1");

	private static final PoolVersion SECOND = new PoolVersion(new PoolId("pool"), "v2");

	@Test
	public void firstRecordOfAStreamCounts() {
		StreamOrigins origins = new StreamOrigins();
		origins.record("r-1", FIRST, 0);
		origins.record("r-1", SECOND, 1);
		assertEquals(origins.find("r-1"), Optional.of(FIRST));
		assertEquals(origins.find("r-2"), Optional.empty());
	}

	@Test
	public void oldStreamsAreForgotten() {
		StreamOrigins origins = new StreamOrigins();
		origins.record("r-1", FIRST, 0);
		origins.record("r-2", FIRST, 10);
		origins.record("r-3", FIRST, StreamOrigins.RETENTION_MILLIS + 5);
		assertEquals(origins.find("r-1"), Optional.empty());
		assertEquals(origins.find("r-2"), Optional.of(FIRST));
	}

	@Test
	public void numberOfStreamsIsBounded() {
		StreamOrigins origins = new StreamOrigins();
		for (int number = 0; number <= 20_000; number++) {
			origins.record("r-" + number, FIRST, 0);
		}
		assertEquals(origins.find("r-0"), Optional.empty());
		assertEquals(origins.find("r-1"), Optional.of(FIRST));
	}

}
