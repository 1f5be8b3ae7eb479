package org.mustardlane.core.placement;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link TargetLoad}.
 */
public class TargetLoadTests {

	private final TargetLoad load = new TargetLoad();

	@Test
	public void estimateIncludesRequestsStartedAndEndedSinceTheSample() {
		TargetLoad newLoad = new TargetLoad();
		newLoad.updateSample(new LoadSample(5, 1, 8, 100, 1000));
		newLoad.requestStarted(1000);
		assertEquals(newLoad.estimate(1500), 7);
		newLoad.requestEnded();
		assertEquals(newLoad.estimate(1500), 6);
	}

	@Test
	public void olderSampleIsIgnored() {
		TargetLoad newLoad = new TargetLoad();
		newLoad.updateSample(new LoadSample(5, 0, 8, 100, 1000));
		newLoad.updateSample(new LoadSample(0, 0, 8, 100, 900));
		assertEquals(newLoad.estimate(1000), 5);
	}

	@Test
	public void sampleExpires() {
		TargetLoad newLoad = new TargetLoad();
		newLoad.updateSample(new LoadSample(5, 0, 8, 100, 1000));
		assertEquals(newLoad.estimate(10_000), 0);
	}

	@Test
	public void pausesGrowWithConsecutiveFailuresAndEndWithAResponse() {
		this.load.recordFailure(0);
		assertTrue(this.load.isPaused(200));
		assertFalse(this.load.isPaused(300));
		this.load.recordFailure(300);
		assertTrue(this.load.isPaused(700));
		this.load.recordResponse(false);
		assertFalse(this.load.isPaused(701));
	}

}
