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
		ClaimWindow window = createWindow(createClaim("first"), createClaim("second"), createClaim("first"));
		assertEquals(holderAttempt(window), Optional.of("first"));
	}

	@Test
	public void releaseAfterClaimFreesKeyForNextClaim() {
		ClaimWindow window = createWindow(createClaim("first"), createClaim("second"), createRelease("first"),
				createClaim("first"));
		assertEquals(holderAttempt(window), Optional.of("second"));
	}

	@Test
	public void releaseBeforeClaimVoidsClaim() {
		ClaimWindow window = createWindow(createRelease("first"), createClaim("first"));
		assertEquals(holderAttempt(window), Optional.empty());
	}

	@Test
	public void claimAppendedTooLateIsVoid() {
		this.appendedAtMillis = 1_000;
		ClaimWindow window = createWindow(new ClaimMade(KEY, "late", "request", "vm", new byte[0], 999),
				createClaim("first"));
		assertEquals(holderAttempt(window), Optional.of("first"));
	}

	@Test
	public void claimIsValidUntilItsWindowHasPassed() {
		ClaimWindow window = createWindow(createClaim("first"));
		this.appendedAtMillis = WINDOW_MILLIS - 1;
		window.apply(record(ClaimCodec.encode(createClaim("second"))));
		assertEquals(holderAttempt(window), Optional.of("first"));
	}

	@Test
	public void claimExpiresByClockOfLog() {
		ClaimWindow window = createWindow(createClaim("first"));
		this.appendedAtMillis = WINDOW_MILLIS;
		window.apply(record(ClaimCodec.encode(createClaim("second"))));
		assertEquals(holderAttempt(window), Optional.of("second"));
		assertEquals(window.factCount(), 1);
	}

	@Test
	public void checkpointKeepsReleaseWhileReleasedClaimCouldBeValid() {
		ClaimWindow writer = createWindow(createRelease("first"));
		this.appendedAtMillis = WINDOW_MILLIS - 1;
		LogRecord claim = record(ClaimCodec.encode(createClaim("first")));
		this.appendedAtMillis = WINDOW_MILLIS + 1;
		List<LogRecord> retained = List.of(claim, record(ClaimCodec.createMarker()));
		retained.forEach(writer::apply);
		ClaimWindow lateReader = new ClaimWindow(SETTINGS);
		lateReader.coverage().skipTo(2);
		retained.forEach(lateReader::apply);
		lateReader.apply(record(ClaimCodec.encode(writer.createCheckpoint(WINDOW_MILLIS, 10))));
		assertEquals(holderAttempt(writer), Optional.empty());
		assertEquals(holderAttempt(lateReader), Optional.empty());
	}

	/**
	 * Guards against checkpoints that omit a valid claim or release: a reader that starts
	 * after log retention has removed most records must find the same holders as a reader
	 * of the whole log.
	 */
	@Test
	public void readerOfCheckpointsAgreesWithReaderOfWholeLog() {
		for (long seed = 1; seed <= 1_000; seed++) {
			assertLateReaderAgrees(new SplittableRandom(seed), seed);
		}
	}

	private void assertLateReaderAgrees(SplittableRandom random, long seed) {
		startAtFirstOffset();
		List<LogRecord> log = new ArrayList<>();
		ClaimWindow writer = new ClaimWindow(SETTINGS);
		for (int step = 0; step < 300; step++) {
			this.appendedAtMillis += random.nextInt(200);
			log.add(record(randomRecord(random, writer)));
			if (random.nextInt(4) > 0) {
				log.subList((int) writer.coverage().nextOffset() - 1, log.size()).forEach(writer::apply);
			}
		}
		int firstRetainedIndex = (int) writer.coverage().checkpointedThrough();
		ClaimWindow fullReader = new ClaimWindow(SETTINGS);
		log.forEach(fullReader::apply);
		ClaimWindow lateReader = new ClaimWindow(SETTINGS);
		lateReader.coverage().skipTo(firstRetainedIndex + 1);
		log.subList(firstRetainedIndex, log.size()).forEach(lateReader::apply);
		assertEquals(lateReader.coverage().gapEndMillis(WINDOW_MILLIS), Long.MIN_VALUE);
		assertTrue(firstRetainedIndex > 50, "checkpointed records: " + firstRetainedIndex);
		for (int key = 0; key < 5; key++) {
			Optional<Long> expected = fullReader.holder(KEY + key).map(LoggedFact::offset);
			Optional<Long> actual = lateReader.holder(KEY + key).map(LoggedFact::offset);
			assertEquals(actual, expected, "seed " + seed + " key " + key);
		}
	}

	private RecordBody randomRecord(SplittableRandom random, ClaimWindow writer) {
		String key = KEY + random.nextInt(5);
		String attemptId = key + "/" + random.nextInt(30);
		int recordType = random.nextInt(10);
		if (recordType < 5) {
			return ClaimCodec.encode(new ClaimMade(key, attemptId, "request", "vm", new byte[0], Long.MAX_VALUE));
		}
		if (recordType < 8) {
			return ClaimCodec.encode(new ClaimReleased(key, attemptId));
		}
		return ClaimCodec.encode(writer.createCheckpoint(this.appendedAtMillis - 2_000, 10));
	}

	@Test
	public void logGapHasNoEndBeforeFirstRecordAfterIt() {
		ClaimWindow window = new ClaimWindow(SETTINGS);
		window.coverage().skipTo(10);
		assertEquals(window.coverage().gapEndMillis(WINDOW_MILLIS), Long.MAX_VALUE);
		this.offset = 9;
		this.appendedAtMillis = 7;
		window.apply(record(ClaimCodec.createMarker()));
		assertEquals(window.coverage().gapEndMillis(WINDOW_MILLIS), 7 + WINDOW_MILLIS);
	}

	@Test
	public void corruptRecordsAreSkipped() {
		SplittableRandom random = new SplittableRandom(1);
		String[] types = { ClaimCodec.CLAIM, ClaimCodec.RELEASE, ClaimCodec.COMPLETION, ClaimCodec.CHECKPOINT };
		ClaimWindow window = new ClaimWindow(SETTINGS);
		for (int round = 0; round < 20_000; round++) {
			byte[] body = ClaimCodec.encode(createClaim("first")).body();
			for (int remainingFlips = random.nextInt(4); remainingFlips >= 0; remainingFlips--) {
				body[random.nextInt(body.length)] = (byte) random.nextInt(256);
			}
			window.apply(record(new RecordBody(types[round % 4], body)));
		}
		assertEquals(window.coverage().nextOffset(), 20_001);
	}

	private static Optional<String> holderAttempt(ClaimWindow window) {
		return window.holder(KEY).map((claim) -> claim.fact().attemptId());
	}

	private ClaimWindow createWindow(ClaimFact... facts) {
		ClaimWindow window = new ClaimWindow(SETTINGS);
		for (ClaimFact fact : facts) {
			window.apply(record(ClaimCodec.encode(fact)));
		}
		return window;
	}

	private LogRecord record(RecordBody body) {
		this.offset++;
		return new LogRecord(this.offset, this.appendedAtMillis, body.type(), body.body());
	}

	private static ClaimMade createClaim(String attemptId) {
		return new ClaimMade(KEY, attemptId, "request", "vm", new byte[0], Long.MAX_VALUE);
	}

	private static ClaimReleased createRelease(String attemptId) {
		return new ClaimReleased(KEY, attemptId);
	}

}
