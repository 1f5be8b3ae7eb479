package org.mustardlane.standin.target;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Text that a fake engine generates for a response. It consists of a seed in hexadecimal,
 * a space, and tokens that are computed from the digest of the request body, the seed and
 * the index of the token. A checker can therefore verify each byte.
 */
public final class ResponseText {

	/**
	 * Length of the seed and the space after it, in bytes.
	 */
	public static final int SEED_BYTES = 17;

	/**
	 * Length of each token with the space after it, in bytes.
	 */
	public static final int TOKEN_BYTES = 6;

	private static final int SEED_DIGITS = SEED_BYTES - 1;

	private static final int TOKEN_DIGITS = TOKEN_BYTES - 1;

	private static final long SPLITMIX_INCREMENT = 0x9E3779B97F4A7C15L;

	private final long bodyHash;

	private final long seed;

	/**
	 * Creates the text of one generation.
	 * @param body body of the request that the caller sent
	 * @param seed the seed
	 */
	public ResponseText(byte[] body, long seed) {
		this.bodyHash = Long.parseUnsignedLong(sha256Hex(body).substring(0, SEED_DIGITS), 16);
		this.seed = seed;
	}

	/**
	 * Returns the SHA-256 digest of a byte array.
	 * @param bytes the bytes to digest
	 * @return the digest in lower-case hexadecimal
	 */
	public static String sha256Hex(byte[] bytes) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available in this JRE", ex);
		}
	}

	/**
	 * Returns the length of a complete text.
	 * @param tokens number of tokens
	 * @return the length in bytes
	 */
	public static int lengthInBytes(int tokens) {
		return SEED_BYTES + tokens * TOKEN_BYTES;
	}

	/**
	 * Returns a complete text.
	 * @param tokens number of tokens
	 * @return the text in ASCII
	 */
	public byte[] bytes(int tokens) {
		return byteRange(0, lengthInBytes(tokens));
	}

	/**
	 * Returns a part of the text.
	 * @param from offset of the first byte
	 * @param to offset after the last byte
	 * @return the part in ASCII
	 */
	public byte[] byteRange(int from, int to) {
		StringBuilder text = new StringBuilder();
		int firstToken = Math.max(0, (from - SEED_BYTES) / TOKEN_BYTES);
		int textOffset = lengthInBytes(firstToken);
		if (from < SEED_BYTES) {
			text.append(String.format("%016x ", this.seed));
			textOffset = 0;
		}
		for (int index = firstToken; textOffset + text.length() < to; index++) {
			text.append(token(index));
		}
		return text.substring(from - textOffset, to - textOffset).getBytes(StandardCharsets.US_ASCII);
	}

	// Mixes the body hash, the seed and the index with the finalizer of SplitMix64.
	private String token(int index) {
		long mixed = (this.bodyHash ^ Long.rotateLeft(this.seed, 23)) + SPLITMIX_INCREMENT * (index + 1);
		mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
		return String.format("%016x", mixed ^ (mixed >>> 31)).substring(0, TOKEN_DIGITS) + " ";
	}

}
