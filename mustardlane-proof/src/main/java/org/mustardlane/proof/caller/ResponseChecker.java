package org.mustardlane.proof.caller;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.mustardlane.standin.target.ResponseText;

/**
 * Checks the response of an engine stand-in, which is computed from the request body and
 * a seed. The response begins with the seed, so that it can be recomputed.
 */
public final class ResponseChecker {

	private static final int HEXADECIMAL_RADIX = 16;

	private ResponseChecker() {
	}

	/**
	 * Classifies the bytes of a response.
	 * @param requestBody the request body
	 * @param tokens the number of tokens that the request asked for
	 * @param response the received bytes
	 * @return the verdict
	 */
	public static ResponseVerdict check(byte[] requestBody, int tokens, byte[] response) {
		if (response.length < ResponseText.SEED_BYTES) {
			return ResponseVerdict.SHORT;
		}
		String seed = new String(response, 0, ResponseText.SEED_BYTES, StandardCharsets.US_ASCII);
		try {
			ResponseText expectedText = new ResponseText(requestBody,
					Long.parseUnsignedLong(seed.trim(), HEXADECIMAL_RADIX));
			byte[] expected = expectedText.bytes(tokens);
			if (Arrays.equals(expected, response)) {
				return ResponseVerdict.WHOLE;
			}
			boolean isPrefix = response.length < expected.length
					&& Arrays.equals(Arrays.copyOf(expected, response.length), response);
			return isPrefix ? ResponseVerdict.SHORT : ResponseVerdict.FOREIGN;
		}
		catch (NumberFormatException ex) {
			return ResponseVerdict.FOREIGN;
		}
	}

}
