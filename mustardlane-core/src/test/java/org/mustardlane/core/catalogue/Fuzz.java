package org.mustardlane.core.catalogue;

import java.util.List;
import java.util.Random;

/**
 * Generates corrupted inputs from valid samples. The same seed generates the same inputs.
 */
final class Fuzz {

	private final Random random;

	private final List<byte[]> samples;

	Fuzz(long seed, List<byte[]> samples) {
		this.random = new Random(seed);
		this.samples = List.copyOf(samples);
	}

	byte[] nextInput() {
		byte[] bytes = this.samples.get(this.random.nextInt(this.samples.size())).clone();
		for (int remaining = this.random.nextInt(4); remaining >= 0 && bytes.length > 2; remaining--) {
			bytes = switch (this.random.nextInt(4)) {
				case 0 -> replaceByte(bytes);
				case 1 -> java.util.Arrays.copyOf(bytes, this.random.nextInt(bytes.length));
				case 2 -> copyRange(bytes);
				default -> replaceByPunctuation(bytes);
			};
		}
		return bytes;
	}

	private byte[] replaceByte(byte[] bytes) {
		bytes[this.random.nextInt(bytes.length)] = (byte) this.random.nextInt(256);
		return bytes;
	}

	private byte[] replaceByPunctuation(byte[] bytes) {
		byte[] punctuation = "{}[]:,-\"'&*!|>%@#\n\t 0\\".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
		bytes[this.random.nextInt(bytes.length)] = punctuation[this.random.nextInt(punctuation.length)];
		return bytes;
	}

	private byte[] copyRange(byte[] bytes) {
		int from = this.random.nextInt(bytes.length);
		int to = this.random.nextInt(bytes.length);
		int length = this.random.nextInt(bytes.length - Math.max(from, to));
		System.arraycopy(bytes, from, bytes, to, length);
		return bytes;
	}

}
