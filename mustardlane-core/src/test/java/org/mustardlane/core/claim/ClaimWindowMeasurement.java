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

	private static final int CLAIMS = 100_000;

	private static final int ROUNDS = 5;

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
		for (int number = 1; number <= CLAIMS; number++) {
			RecordBody body = ClaimCodec.encode(claim(number));
			recordBytes += body.body().length;
			records.add(new LogRecord(number, number, body.type(), body.body()));
		}
		long heapBytes = heapBytes(records);
		long nanos = bestNanos(records);
		System.out.printf("claims %d, record %d B, heap %d B a claim, fold %.1f us a claim, decision %.1f us%n", CLAIMS,
				recordBytes / CLAIMS, heapBytes / CLAIMS, nanos / 1_000.0 / CLAIMS, decisionNanos() / 1_000.0);
	}

	private static long decisionNanos() {
		FakeRouters routers = new FakeRouters(ClaimSettings.DEFAULT, "a");
		VmId vm = new VmId("a");
		routers.view(vm, vm);
		routers.pass(100);
		long startNanos = System.nanoTime();
		for (int number = 0; number < CLAIMS; number++) {
			long deadlineMillis = routers.nowMillis + 10_000;
			routers.send(vm, vm, ClaimFixture.askOf("a" + number, "k" + number, "body", deadlineMillis));
			if (number % 50 == 0) {
				routers.pass(100);
			}
		}
		routers.pass(1_000);
		long nanos = System.nanoTime() - startNanos;
		require(routers.answers.stream().filter((one) -> one.verdict() == ClaimVerdict.HELD).count() == CLAIMS);
		return nanos / CLAIMS;
	}

	private static long heapBytes(List<LogRecord> records) {
		long beforeBytes = usedBytes();
		ClaimWindow window = fold(records);
		long heapBytes = usedBytes() - beforeBytes;
		require(window.size() == CLAIMS);
		return heapBytes;
	}

	private static long bestNanos(List<LogRecord> records) {
		long bestNanos = Long.MAX_VALUE;
		for (int round = 0; round < ROUNDS; round++) {
			long startNanos = System.nanoTime();
			ClaimWindow window = fold(records);
			bestNanos = Math.min(bestNanos, System.nanoTime() - startNanos);
			require(window.size() == CLAIMS);
		}
		return bestNanos;
	}

	private static ClaimMade claim(int number) throws NoSuchAlgorithmException {
		byte[] digest = MessageDigest.getInstance("SHA-256").digest(("k" + number).getBytes(StandardCharsets.UTF_8));
		String requestId = "entry-vm-17-1764813600000-" + number;
		return new ClaimMade(HexFormat.of().formatHex(digest), requestId + "/claim", requestId, "entry-vm-17", digest,
				Long.MAX_VALUE);
	}

	private static ClaimWindow fold(List<LogRecord> records) {
		ClaimWindow window = new ClaimWindow(ClaimSettings.DEFAULT);
		records.forEach(window::fold);
		return window;
	}

	private static long usedBytes() {
		for (int round = 0; round < ROUNDS; round++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private static void require(boolean condition) {
		if (!condition) {
			throw new IllegalStateException("the window lost claims");
		}
	}

}
