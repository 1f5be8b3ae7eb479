package org.mustardlane.core.catalogue;

import java.util.List;
import java.util.Random;

/**
 * Makes broken inputs out of good ones, alike in each run with the same seed.
 */
final class Fuzz {

	private final Random random;

	private final List<byte[]> samples;

	Fuzz(long seed, List<byte[]> samples) {
		this.random = new Random(seed);
		this.samples = List.copyOf(samples);
	}

	byte[] next() {
		byte[] bytes = this.samples.get(this.random.nextInt(this.samples.size())).clone();
		for (int change = this.random.nextInt(4); change >= 0 && bytes.length > 2; change--) {
			bytes = switch (this.random.nextInt(4)) {
				case 0 -> replaced(bytes);
				case 1 -> java.util.Arrays.copyOf(bytes, this.random.nextInt(bytes.length));
				case 2 -> spliced(bytes);
				default -> punctuated(bytes);
			};
		}
		return bytes;
	}

	private byte[] replaced(byte[] bytes) {
		bytes[this.random.nextInt(bytes.length)] = (byte) this.random.nextInt(256);
		return bytes;
	}

	private byte[] punctuated(byte[] bytes) {
		byte[] marks = "{}[]:,-\"'&*!|>%@#\n\t 0\\".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
		bytes[this.random.nextInt(bytes.length)] = marks[this.random.nextInt(marks.length)];
		return bytes;
	}

	private byte[] spliced(byte[] bytes) {
		int from = this.random.nextInt(bytes.length);
		int to = this.random.nextInt(bytes.length);
		int length = this.random.nextInt(bytes.length - Math.max(from, to));
		System.arraycopy(bytes, from, bytes, to, length);
		return bytes;
	}

}
