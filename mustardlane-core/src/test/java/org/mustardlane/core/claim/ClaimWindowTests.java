package org.mustardlane.core.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.RecordBody;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests of {@link ClaimWindow}.
 */
public class ClaimWindowTests {

	private static final ClaimSettings SETTINGS = ClaimFixture.SETTINGS;

	private static final long WINDOW_MILLIS = SETTINGS.windowMillis();

	private static final String KEY = "key";

	private long offset;

	private long appendedAtMillis;

	@BeforeMethod
	public void startAtFirstOffset() {
		this.offset = 0;
		this.appendedAtMillis = 0;
	}

	@Test
	public void oldestClaimHoldsKey() {
		ClaimWindow window = fold(claim("first"), claim("second"), claim("first"));
		assertEquals(holder(window), Optional.of("first"));
	}

	@Test
	public void releaseAfterClaimLetsNextClaimHold() {
		ClaimWindow window = fold(claim("first"), claim("second"), release("first"), claim("first"));
		assertEquals(holder(window), Optional.of("second"));
	}

	@Test
	public void releaseBeforeClaimKeepsClaimDead() {
		ClaimWindow window = fold(release("first"), claim("first"));
		assertEquals(holder(window), Optional.empty());
	}

	@Test
	public void claimThatAppearsTooLateIsVoid() {
		this.appendedAtMillis = 1_000;
		ClaimWindow window = fold(new ClaimMade(KEY, "late", "request", "vm", new byte[0], 999), claim("first"));
		assertEquals(holder(window), Optional.of("first"));
	}

	@Test
	public void claimCountsUntilItsWindowHasPassed() {
		ClaimWindow window = fold(claim("first"));
		this.appendedAtMillis = WINDOW_MILLIS - 1;
		window.fold(record(ClaimCodec.encode(claim("second"))));
		assertEquals(holder(window), Optional.of("first"));
	}

	@Test
	public void claimEndsByClockOfLog() {
		ClaimWindow window = fold(claim("first"));
		this.appendedAtMillis = WINDOW_MILLIS;
		window.fold(record(ClaimCodec.encode(claim("second"))));
		assertEquals(holder(window), Optional.of("second"));
		assertEquals(window.size(), 1);
	}

	@Test
	public void releaseIsCarriedAsLongAsAClaimThatItEndedCouldCount() {
		ClaimWindow writer = fold(release("first"));
		this.appendedAtMillis = WINDOW_MILLIS - 1;
		LogRecord claim = record(ClaimCodec.encode(claim("first")));
		this.appendedAtMillis = WINDOW_MILLIS + 1;
		List<LogRecord> retained = List.of(claim, record(ClaimCodec.marker()));
		retained.forEach(writer::fold);
		ClaimWindow late = new ClaimWindow(SETTINGS);
		late.coverage().skipTo(2);
		retained.forEach(late::fold);
		late.fold(record(ClaimCodec.encode(writer.checkpoint(WINDOW_MILLIS, 10))));
		assertEquals(holder(writer), Optional.empty());
		assertEquals(holder(late), Optional.empty());
	}

	/**
	 * Guards against checkpoints that omit a valid claim or release: a reader that starts
	 * after log retention has removed most records must find the same holders as a reader
	 * of the whole log.
	 */
	@Test
	public void checkpointsReplaceHistory() {
		for (long seed = 1; seed <= 1_000; seed++) {
			compareWithLateReader(new SplittableRandom(seed), seed);
		}
	}

	private void compareWithLateReader(SplittableRandom random, long seed) {
		startAtFirstOffset();
		List<LogRecord> log = new ArrayList<>();
		ClaimWindow writer = new ClaimWindow(SETTINGS);
		for (int step = 0; step < 300; step++) {
			this.appendedAtMillis += random.nextInt(200);
			log.add(record(random(random, writer)));
			if (random.nextInt(4) > 0) {
				log.subList((int) writer.coverage().nextOffset() - 1, log.size()).forEach(writer::fold);
			}
		}
		int cut = (int) writer.coverage().carriedThrough();
		ClaimWindow full = new ClaimWindow(SETTINGS);
		log.forEach(full::fold);
		ClaimWindow late = new ClaimWindow(SETTINGS);
		late.coverage().skipTo(cut + 1);
		log.subList(cut, log.size()).forEach(late::fold);
		assertEquals(late.coverage().gapEndMillis(WINDOW_MILLIS), Long.MIN_VALUE);
		assertTrue(cut > 50, "cut " + cut);
		for (int key = 0; key < 5; key++) {
			Optional<Long> expected = full.holder(KEY + key).map(LoggedFact::offset);
			Optional<Long> actual = late.holder(KEY + key).map(LoggedFact::offset);
			assertEquals(actual, expected, "seed " + seed + " key " + key);
		}
	}

	private RecordBody random(SplittableRandom random, ClaimWindow writer) {
		String key = KEY + random.nextInt(5);
		String attempt = key + "/" + random.nextInt(30);
		int kind = random.nextInt(10);
		if (kind < 5) {
			return ClaimCodec.encode(new ClaimMade(key, attempt, "request", "vm", new byte[0], Long.MAX_VALUE));
		}
		if (kind < 8) {
			return ClaimCodec.encode(new ClaimReleased(key, attempt));
		}
		return ClaimCodec.encode(writer.checkpoint(this.appendedAtMillis - 2_000, 10));
	}

	@Test
	public void gapWithoutRecordsHasNoEnd() {
		ClaimWindow window = new ClaimWindow(SETTINGS);
		window.coverage().skipTo(10);
		assertEquals(window.coverage().gapEndMillis(WINDOW_MILLIS), Long.MAX_VALUE);
		this.offset = 9;
		this.appendedAtMillis = 7;
		window.fold(record(ClaimCodec.marker()));
		assertEquals(window.coverage().gapEndMillis(WINDOW_MILLIS), 7 + WINDOW_MILLIS);
	}

	@Test
	public void randomBytesNeverStopTheFold() {
		SplittableRandom random = new SplittableRandom(1);
		String[] types = { ClaimCodec.CLAIM, ClaimCodec.RELEASE, ClaimCodec.COMPLETION, ClaimCodec.CHECKPOINT };
		ClaimWindow window = new ClaimWindow(SETTINGS);
		for (int round = 0; round < 20_000; round++) {
			byte[] body = ClaimCodec.encode(claim("first")).body();
			for (int flips = random.nextInt(4); flips >= 0; flips--) {
				body[random.nextInt(body.length)] = (byte) random.nextInt(256);
			}
			window.fold(record(new RecordBody(types[round % 4], body)));
		}
		assertEquals(window.coverage().nextOffset(), 20_001);
	}

	private static Optional<String> holder(ClaimWindow window) {
		return window.holder(KEY).map((claim) -> claim.fact().attemptId());
	}

	private ClaimWindow fold(ClaimFact... facts) {
		ClaimWindow window = new ClaimWindow(SETTINGS);
		for (ClaimFact fact : facts) {
			window.fold(record(ClaimCodec.encode(fact)));
		}
		return window;
	}

	private LogRecord record(RecordBody body) {
		this.offset++;
		return new LogRecord(this.offset, this.appendedAtMillis, body.type(), body.body());
	}

	private static ClaimMade claim(String attemptId) {
		return new ClaimMade(KEY, attemptId, "request", "vm", new byte[0], Long.MAX_VALUE);
	}

	private static ClaimReleased release(String attemptId) {
		return new ClaimReleased(KEY, attemptId);
	}

}
