package org.mustardlane.core.target;

import java.util.List;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import org.mustardlane.core.model.target.AttemptTiming;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link HealthReview}.
 */
public class HealthReviewTests {

	private static final int REVIEW_MILLIS = 50;

	private final HealthReview review = new HealthReview();

	private final List<TargetHealth> targets = Stream.generate(TargetHealth::new).limit(4).toList();

	private long nowMillis = 1000;

	private void answer(TargetHealth target, long firstTokenMillis, long gapMillis) {
		for (int i = 0; i < 8; i++) {
			target.answered(new AttemptTiming(firstTokenMillis, gapMillis, 500), this.nowMillis);
		}
	}

	private void reviewFor(int millis) {
		for (int i = 0; i < millis; i += REVIEW_MILLIS) {
			this.nowMillis += REVIEW_MILLIS;
			this.review.review(this.targets, this.nowMillis);
		}
	}

	private long open() {
		return this.targets.stream().filter(TargetHealth::isOpen).count();
	}

	private void answerAll(long firstTokenMillis, long gapMillis) {
		this.targets.forEach((target) -> answer(target, firstTokenMillis, gapMillis));
	}

	@Test
	public void easesOutASlowTargetAndLetsItBackAfterGoodProbes() {
		answerAll(50, 10);
		reviewFor(1000);
		TargetHealth slow = this.targets.get(2);
		answer(slow, 50, 100);
		reviewFor(300);
		assertEquals(slow.sharePercent(), 0);
		assertEquals(open(), 3);
		this.nowMillis += 1000;
		assertTrue(slow.isProbeDue(this.nowMillis));
		slow.granted(this.nowMillis);
		assertFalse(slow.isProbeDue(this.nowMillis));
		answer(slow, 50, 10);
		reviewFor(300);
		assertEquals(slow.sharePercent(), 100);
	}

	@Test
	public void closesNoMoreThanHalfForSlowness() {
		HealthReview fresh = new HealthReview();
		List<TargetHealth> four = Stream.generate(TargetHealth::new).limit(4).toList();
		four.forEach((target) -> answer(target, 50, 10));
		for (int i = 0; i < 120; i++) {
			fresh.review(four, this.nowMillis);
		}
		four.subList(0, 3).forEach((target) -> answer(target, 5000, 1000));
		for (int i = 0; i < 20; i++) {
			fresh.review(four, this.nowMillis);
		}
		assertEquals(four.stream().filter(TargetHealth::isOpen).count(), 2);
	}

	@Test
	public void easesOutAFailingTargetAndTriesAllWhereAllFail() {
		HealthReview fresh = new HealthReview();
		List<TargetHealth> pair = Stream.generate(TargetHealth::new).limit(2).toList();
		fail(pair.get(0));
		fresh.review(pair, this.nowMillis);
		fresh.review(pair, this.nowMillis);
		assertFalse(pair.get(0).isOpen());
		fail(pair.get(1));
		fresh.review(pair, this.nowMillis);
		assertTrue(pair.get(0).isOpen() && pair.get(1).isOpen());
	}

	private static void fail(TargetHealth target) {
		target.failed();
		target.failed();
	}

	@Test
	public void tellsWhereOneTargetClosesAsAnotherOpens() {
		HealthReview fresh = new HealthReview();
		List<TargetHealth> four = Stream.generate(TargetHealth::new).limit(4).toList();
		fail(four.get(0));
		for (int i = 0; i < 8; i++) {
			fresh.review(four, this.nowMillis);
		}
		answer(four.get(0), 50, 10);
		fresh.review(four, this.nowMillis);
		fresh.review(four, this.nowMillis);
		fail(four.get(1));
		fresh.review(four, this.nowMillis);
		assertFalse(four.get(0).isOpen());
		assertTrue(fresh.review(four, this.nowMillis));
		assertTrue(four.get(0).isOpen());
		assertFalse(four.get(1).isOpen());
	}

	@Test
	public void targetThatServesButReportsNothingStaysOpen() {
		HealthReview fresh = new HealthReview();
		List<TargetHealth> pair = Stream.generate(TargetHealth::new).limit(2).toList();
		for (int i = 0; i < 10; i++) {
			pair.forEach((target) -> target.polled(false));
			answer(pair.get(0), 50, 10);
			fresh.review(pair, this.nowMillis);
		}
		assertTrue(pair.get(0).isOpen());
		assertFalse(pair.get(1).isOpen());
	}

	@Test
	public void closesATargetThatFellSilent() {
		HealthReview fresh = new HealthReview();
		List<TargetHealth> pair = Stream.generate(TargetHealth::new).limit(2).toList();
		pair.get(0).elapse(12, 8);
		pair.get(1).elapse(4, 8);
		fresh.review(pair, this.nowMillis);
		fresh.review(pair, this.nowMillis);
		assertFalse(pair.get(0).isOpen());
		assertTrue(pair.get(1).isOpen());
	}

	@Test
	public void runOfColdAnswersIsNotSlowness() {
		HealthReview fresh = new HealthReview();
		List<TargetHealth> pair = Stream.generate(TargetHealth::new).limit(2).toList();
		pair.forEach((target) -> answer(target, 80, 10));
		fresh.review(pair, this.nowMillis);
		pair.forEach((target) -> answer(target, 5, 10));
		for (int i = 0; i < 200; i++) {
			fresh.review(pair, this.nowMillis);
		}
		answer(pair.get(0), 80, 10);
		fresh.review(pair, this.nowMillis);
		fresh.review(pair, this.nowMillis);
		assertTrue(pair.get(0).isOpen());
	}

}
