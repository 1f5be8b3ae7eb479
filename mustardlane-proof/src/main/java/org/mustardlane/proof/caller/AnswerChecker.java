package org.mustardlane.proof.caller;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.mustardlane.standin.target.AnswerText;

/**
 * Recomputes the answer of an engine from the request and the seed at its beginning.
 */
public final class AnswerChecker {

	private static final int HEXADECIMAL = 16;

	private AnswerChecker() {
	}

	/**
	 * Judges the bytes of an answer.
	 * @param requestBody the body of the request
	 * @param tokens how many tokens the request asked for
	 * @param answer the bytes that arrived
	 * @return what they are
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
