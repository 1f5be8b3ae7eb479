package org.mustardlane.core.target;

import java.util.List;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import org.mustardlane.core.model.target.AttemptTiming;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link OutlierDetector}.
 */
public class OutlierDetectorTests {

	private static final int REVIEW_MILLIS = 50;

	private final OutlierDetector detector = new OutlierDetector();

	private final List<TargetHealth> targets = Stream.generate(TargetHealth::new).limit(4).toList();

	private long nowMillis = 1000;

	private void addResponses(TargetHealth target, long firstTokenMillis, long gapMillis) {
		for (int i = 0; i < 8; i++) {
			target.recordResponse(new AttemptTiming(firstTokenMillis, gapMillis, 500), this.nowMillis);
		}
	}

	private void reviewFor(int millis) {
		for (int i = 0; i < millis; i += REVIEW_MILLIS) {
			this.nowMillis += REVIEW_MILLIS;
			this.detector.review(this.targets, this.nowMillis);
		}
	}

	private long countOpenTargets() {
		return this.targets.stream().filter(TargetHealth::isOpen).count();
	}

	private void addResponsesToAll(long firstTokenMillis, long gapMillis) {
		this.targets.forEach((target) -> addResponses(target, firstTokenMillis, gapMillis));
	}

	@Test
	public void slowTargetIsClosedAndReopenedAfterSuccessfulProbes() {
		addResponsesToAll(50, 10);
		reviewFor(1000);
		TargetHealth slowTarget = this.targets.get(2);
		addResponses(slowTarget, 50, 100);
		reviewFor(300);
		assertEquals(slowTarget.slotSharePercent(), 0);
		assertEquals(countOpenTargets(), 3);
		this.nowMillis += 1000;
		assertTrue(slowTarget.isProbeDue(this.nowMillis));
		slowTarget.recordGrant(this.nowMillis);
		assertFalse(slowTarget.isProbeDue(this.nowMillis));
		addResponses(slowTarget, 50, 10);
		reviewFor(300);
		assertEquals(slowTarget.slotSharePercent(), 100);
	}

	@Test
	public void atMostHalfOfTheTargetsAreClosedForSlowness() {
		OutlierDetector newDetector = new OutlierDetector();
		List<TargetHealth> fourTargets = Stream.generate(TargetHealth::new).limit(4).toList();
		fourTargets.forEach((target) -> addResponses(target, 50, 10));
		for (int i = 0; i < 120; i++) {
			newDetector.review(fourTargets, this.nowMillis);
		}
		fourTargets.subList(0, 3).forEach((target) -> addResponses(target, 5000, 1000));
		for (int i = 0; i < 20; i++) {
			newDetector.review(fourTargets, this.nowMillis);
		}
		assertEquals(fourTargets.stream().filter(TargetHealth::isOpen).count(), 2);
	}

	@Test
	public void failingTargetIsClosedAndAllTargetsAreReopenedWhenAllFail() {
		OutlierDetector newDetector = new OutlierDetector();
		List<TargetHealth> twoTargets = Stream.generate(TargetHealth::new).limit(2).toList();
		addTwoFailures(twoTargets.get(0));
		newDetector.review(twoTargets, this.nowMillis);
		newDetector.review(twoTargets, this.nowMillis);
		assertFalse(twoTargets.get(0).isOpen());
		addTwoFailures(twoTargets.get(1));
		newDetector.review(twoTargets, this.nowMillis);
		assertTrue(twoTargets.get(0).isOpen() && twoTargets.get(1).isOpen());
	}

	private static void addTwoFailures(TargetHealth target) {
		target.recordFailure();
		target.recordFailure();
	}

	@Test
	public void reportsAChangeWhenOneTargetClosesAsAnotherOpens() {
		OutlierDetector newDetector = new OutlierDetector();
		List<TargetHealth> fourTargets = Stream.generate(TargetHealth::new).limit(4).toList();
		addTwoFailures(fourTargets.get(0));
		for (int i = 0; i < 8; i++) {
			newDetector.review(fourTargets, this.nowMillis);
		}
		addResponses(fourTargets.get(0), 50, 10);
		newDetector.review(fourTargets, this.nowMillis);
		newDetector.review(fourTargets, this.nowMillis);
		addTwoFailures(fourTargets.get(1));
		newDetector.review(fourTargets, this.nowMillis);
		assertFalse(fourTargets.get(0).isOpen());
		assertTrue(newDetector.review(fourTargets, this.nowMillis));
		assertTrue(fourTargets.get(0).isOpen());
		assertFalse(fourTargets.get(1).isOpen());
	}

	@Test
	public void targetThatRespondsButFailsLoadPollsStaysOpen() {
		OutlierDetector newDetector = new OutlierDetector();
		List<TargetHealth> twoTargets = Stream.generate(TargetHealth::new).limit(2).toList();
		for (int i = 0; i < 10; i++) {
			twoTargets.forEach((target) -> target.recordPoll(false));
			addResponses(twoTargets.get(0), 50, 10);
			newDetector.review(twoTargets, this.nowMillis);
		}
		assertTrue(twoTargets.get(0).isOpen());
		assertFalse(twoTargets.get(1).isOpen());
	}

	@Test
	public void silentTargetIsClosed() {
		OutlierDetector newDetector = new OutlierDetector();
		List<TargetHealth> twoTargets = Stream.generate(TargetHealth::new).limit(2).toList();
		twoTargets.get(0).addExpectedReleases(12, 8);
		twoTargets.get(1).addExpectedReleases(4, 8);
		newDetector.review(twoTargets, this.nowMillis);
		newDetector.review(twoTargets, this.nowMillis);
		assertFalse(twoTargets.get(0).isOpen());
		assertTrue(twoTargets.get(1).isOpen());
	}

	@Test
	public void responsesWithoutCachedPrefixDoNotCountAsSlow() {
		OutlierDetector newDetector = new OutlierDetector();
		List<TargetHealth> twoTargets = Stream.generate(TargetHealth::new).limit(2).toList();
		twoTargets.forEach((target) -> addResponses(target, 80, 10));
		newDetector.review(twoTargets, this.nowMillis);
		twoTargets.forEach((target) -> addResponses(target, 5, 10));
		for (int i = 0; i < 200; i++) {
			newDetector.review(twoTargets, this.nowMillis);
		}
		addResponses(twoTargets.get(0), 80, 10);
		newDetector.review(twoTargets, this.nowMillis);
		newDetector.review(twoTargets, this.nowMillis);
		assertTrue(twoTargets.get(0).isOpen());
	}

}
