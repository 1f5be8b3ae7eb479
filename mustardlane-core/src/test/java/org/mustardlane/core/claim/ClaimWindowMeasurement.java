package org.mustardlane.core.claim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

import org.mustardlane.core.message.ClaimVerdict;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.core.model.log.LogRecord;
import org.mustardlane.core.model.log.RecordBody;

/**
 * Measures the heap used per claim, the time to apply a claim record and the time from
 * claim request to reply in the handler, including the in-memory log. Prints one line.
 */
public final class ClaimWindowMeasurement {

	private static final int CLAIM_COUNT = 100_000;

	private static final int ROUND_COUNT = 5;

	private ClaimWindowMeasurement() {
	}

	/**
	 * Runs the measurement.
	 * @param arguments not used
	 * @throws NoSuchAlgorithmException if the JVM has no SHA-256
	 */
	public static void main(String[] arguments) throws NoSuchAlgorithmException {
		List<LogRecord> records = new ArrayList<>();
		long recordBytes = 0;
		for (int number = 1; number <= CLAIM_COUNT; number++) {
			RecordBody body = ClaimCodec.encode(createClaim(number));
			recordBytes += body.body().length;
			records.add(new LogRecord(number, number, body.type(), body.body()));
		}
		long heapBytes = measureHeapBytes(records);
		long nanos = measureBestNanos(records);
		System.out.printf("claims %d, record %d B, heap %d B per claim, apply %.1f us per claim, decision %.1f us%n",
				CLAIM_COUNT, recordBytes / CLAIM_COUNT, heapBytes / CLAIM_COUNT, nanos / 1_000.0 / CLAIM_COUNT,
				nanosPerDecision() / 1_000.0);
	}

	private static long nanosPerDecision() {
		FakeRouters routers = new FakeRouters(ClaimSettings.DEFAULT, "a");
		VmId vm = new VmId("a");
		routers.setLiveRouters(vm, vm);
		routers.advance(100);
		long startNanos = System.nanoTime();
		for (int number = 0; number < CLAIM_COUNT; number++) {
			long deadlineMillis = routers.nowMillis + 10_000;
			routers.send(vm, vm, ClaimFixture.claimRequest("a" + number, "k" + number, "body", deadlineMillis));
			if (number % 50 == 0) {
				routers.advance(100);
			}
		}
		routers.advance(1_000);
		long nanos = System.nanoTime() - startNanos;
		requireExpected(routers.replies.stream()
			.filter((reply) -> reply.verdict() == ClaimVerdict.HELD)
			.count() == CLAIM_COUNT);
		return nanos / CLAIM_COUNT;
	}

	private static long measureHeapBytes(List<LogRecord> records) {
		long initialBytes = usedHeapBytes();
		ClaimWindow window = createWindow(records);
		long heapBytes = usedHeapBytes() - initialBytes;
		requireExpected(window.factCount() == CLAIM_COUNT);
		return heapBytes;
	}

	private static long measureBestNanos(List<LogRecord> records) {
		long bestNanos = Long.MAX_VALUE;
		for (int round = 0; round < ROUND_COUNT; round++) {
			long startNanos = System.nanoTime();
			ClaimWindow window = createWindow(records);
			bestNanos = Math.min(bestNanos, System.nanoTime() - startNanos);
			requireExpected(window.factCount() == CLAIM_COUNT);
		}
		return bestNanos;
	}

	private static ClaimMade createClaim(int number) throws NoSuchAlgorithmException {
		byte[] digest = MessageDigest.getInstance("SHA-256").digest(("k" + number).getBytes(StandardCharsets.UTF_8));
		String requestId = "entry-vm-17-1764813600000-" + number;
		return new ClaimMade(HexFormat.of().formatHex(digest), requestId + "/claim", requestId, "entry-vm-17", digest,
				Long.MAX_VALUE);
	}

	private static ClaimWindow createWindow(List<LogRecord> records) {
		ClaimWindow window = new ClaimWindow(ClaimSettings.DEFAULT);
		records.forEach(window::apply);
		return window;
	}

	private static long usedHeapBytes() {
		for (int round = 0; round < ROUND_COUNT; round++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private static void requireExpected(boolean condition) {
		if (!condition) {
			throw new IllegalStateException("unexpected number of claims");
		}
	}

}
