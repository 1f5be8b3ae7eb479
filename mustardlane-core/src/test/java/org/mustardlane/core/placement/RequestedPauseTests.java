package org.mustardlane.core.placement;

import org.testng.annotations.Test;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.directory.TargetState;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

import static org.testng.Assert.assertEquals;

/**
 * Tests of the time for which a target wants no requests.
 */
public class RequestedPauseTests {

	private final TargetLoad load = new TargetLoad();

	private static TargetEntry startedAt(long startedAtMillis) {
		return new TargetEntry(new TargetId("t-1"), new PoolId("pool"), "127.0.0.1", 80, new DomainId("north"), 4, "v1",
				TargetState.READY, startedAtMillis, 1);
	}

	@Test
	public void pauseLastsToItsEnd() {
		this.load.recordRequestedPause(new RequestedPause(5, 3000));
		assertEquals(this.load.millisUntilAdmitted(startedAt(5), 1000), 2000);
		assertEquals(this.load.millisUntilAdmitted(startedAt(5), 3000), 0);
	}

	@Test
	public void responseDoesNotEndThePause() {
		this.load.recordRequestedPause(new RequestedPause(5, 3000));
		this.load.recordResponse(false);
		assertEquals(this.load.millisUntilAdmitted(startedAt(5), 1000), 2000);
	}

	@Test
	public void shorterPauseDoesNotReplaceALongerOne() {
		this.load.recordRequestedPause(new RequestedPause(5, 3000));
		this.load.recordRequestedPause(new RequestedPause(5, 1500));
		assertEquals(this.load.millisUntilAdmitted(startedAt(5), 1000), 2000);
		this.load.recordRequestedPause(new RequestedPause(5, 9000));
		assertEquals(this.load.millisUntilAdmitted(startedAt(5), 1000), 8000);
	}

	@Test
	public void startOfTheTargetEndsThePause() {
		this.load.recordRequestedPause(new RequestedPause(5, 9000));
		assertEquals(this.load.millisUntilAdmitted(startedAt(6), 1000), 0);
		this.load.recordRequestedPause(new RequestedPause(6, 2000));
		assertEquals(this.load.millisUntilAdmitted(startedAt(6), 1000), 1000);
		this.load.recordRequestedPause(new RequestedPause(5, 9000));
		assertEquals(this.load.millisUntilAdmitted(startedAt(6), 1000), 1000);
	}

}
