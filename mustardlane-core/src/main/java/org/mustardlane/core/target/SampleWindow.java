package org.mustardlane.core.target;

import java.util.Arrays;
import java.util.stream.LongStream;

/**
 * The most recent samples of a measured time and their median.
 *
 * <p>
 * Not thread-safe.
 */
final class SampleWindow {

	private static final int SIZE = 8;

	private final long[] samples = new long[SIZE];

	private int count;

	private int nextIndex;

	void add(long sample) {
		this.samples[this.nextIndex] = sample;
		this.nextIndex = (this.nextIndex + 1) % SIZE;
		this.count = Math.min(SIZE, this.count + 1);
	}

	void clear() {
		this.count = 0;
		this.nextIndex = 0;
	}

	int count() {
		return this.count;
	}

	LongStream samples() {
		return Arrays.stream(this.samples, 0, this.count);
	}

	long median() {
		long[] sorted = Arrays.copyOf(this.samples, this.count);
		Arrays.sort(sorted);
		return (this.count == 0) ? 0 : sorted[(this.count - 1) / 2];
	}

}
