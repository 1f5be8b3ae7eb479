package org.mustardlane.core.model.common;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

/**
 * Tests of {@link RankedLock}.
 */
public class RankedLockTests {

	private final RankedLock requests = new RankedLock(LockRank.REQUESTS);

	private final RankedLock claims = new RankedLock(LockRank.CLAIMS);

	@Test
	public void acquiresLocksInRankOrder() {
		assertEquals(this.requests.callLocked(() -> this.claims.callLocked(() -> 1)).intValue(), 1);
	}

	@Test
	public void rejectsLockOfLowerRank() {
		assertThrows(IllegalStateException.class,
				() -> this.claims.callLocked(() -> this.requests.callLocked(() -> 1)));
	}

	@Test
	public void rejectsSecondLockOfSameRank() {
		assertThrows(IllegalStateException.class, () -> this.claims.callLocked(() -> this.claims.callLocked(() -> 1)));
	}

}
