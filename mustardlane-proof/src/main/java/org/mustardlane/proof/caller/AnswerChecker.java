package org.mustardlane.proof.caller;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.mustardlane.standin.target.AnswerText;

/**
 * Checks the response of an engine stand-in, which is computed from the request body and
 * a seed. The response begins with the seed, so that it can be recomputed.
 */
public final class AnswerChecker {

	private static final int HEXADECIMAL = 16;

	private AnswerChecker() {
	}

	/**
	 * Classifies the bytes of a response.
	 * @param requestBody the request body
	 * @param tokens the number of tokens that the request asked for
	 * @param answer the received bytes
	 * @return the verdict
	 */
	public static AnswerVerdict check(byte[] requestBody, int tokens, byte[] answer) {
		if (answer.length < AnswerText.SEED_BYTES) {
			return AnswerVerdict.SHORT;
		}
		String seed = new String(answer, 0, AnswerText.SEED_BYTES, StandardCharsets.US_ASCII);
		try {
			AnswerText text = new AnswerText(requestBody, Long.parseUnsignedLong(seed.trim(), HEXADECIMAL));
			byte[] whole = text.whole(tokens);
			if (Arrays.equals(whole, answer)) {
				return AnswerVerdict.WHOLE;
			}
			boolean isBeginning = answer.length < whole.length
					&& Arrays.equals(Arrays.copyOf(whole, answer.length), answer);
			return isBeginning ? AnswerVerdict.SHORT : AnswerVerdict.FOREIGN;
		}
		catch (NumberFormatException ex) {
			return AnswerVerdict.FOREIGN;
		}
	}

}
