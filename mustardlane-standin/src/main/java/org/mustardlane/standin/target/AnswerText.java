package org.mustardlane.standin.target;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The text of an answer of an engine: its seed, a space, and tokens that follow from body
 * digest, seed and index.
 */
public final class AnswerText {

	/**
	 * Length of the seed and the space after it.
	 */
	public static final int SEED_BYTES = 17;

	/**
	 * Length of each token.
	 */
	public static final int TOKEN_BYTES = 6;

	private static final int SEED_DIGITS = SEED_BYTES - 1;

	private static final int TOKEN_DIGITS = TOKEN_BYTES - 1;

	private static final long MIX = 0x9E3779B97F4A7C15L;

	private final long bodyHash;

	private final long seed;

	/**
	 * Creates the text of one generation.
	 * @param body the body of the request of the caller
	 * @param seed the seed
	 */
	public AnswerText(byte[] body, long seed) {
		this.bodyHash = Long.parseUnsignedLong(digest(body).substring(0, SEED_DIGITS), 16);
		this.seed = seed;
	}

	/**
	 * Returns the SHA-256 of some bytes.
	 * @param bytes the bytes
	 * @return the digest in lower-case hexadecimal
	 */
	public static String digest(byte[] bytes) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every JRE has SHA-256", ex);
		}
	}

	/**
	 * Returns the length of a whole answer.
	 * @param tokens number of tokens
	 * @return the length in bytes
	 */
	public static int wholeBytes(int tokens) {
		return SEED_BYTES + tokens * TOKEN_BYTES;
	}

	/**
	 * Returns the whole answer.
	 * @param tokens number of tokens
	 * @return the bytes
	 */
	public byte[] whole(int tokens) {
		return range(0, wholeBytes(tokens));
	}

	/**
	 * Returns a part of the answer.
	 * @param from first byte
	 * @param to byte after the last one
	 * @return the bytes
	 */
	public byte[] range(int from, int to) {
		StringBuilder text = new StringBuilder();
		int firstToken = Math.max(0, (from - SEED_BYTES) / TOKEN_BYTES);
		int start = wholeBytes(firstToken);
		if (from < SEED_BYTES) {
			text.append(String.format("%016x ", this.seed));
			start = 0;
		}
		for (int index = firstToken; start + text.length() < to; index++) {
			text.append(token(index));
		}
		return text.substring(from - start, to - start).getBytes(StandardCharsets.US_ASCII);
	}

	private String token(int index) {
		long mixed = (this.bodyHash ^ Long.rotateLeft(this.seed, 23)) + MIX * (index + 1);
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return String.format("%016x", mixed ^ (mixed >>> 31)).substring(0, TOKEN_DIGITS) + " ";
	}

}
