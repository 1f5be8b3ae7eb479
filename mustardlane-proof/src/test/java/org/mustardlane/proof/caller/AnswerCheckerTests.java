package org.mustardlane.proof.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.testng.annotations.Test;

import org.mustardlane.standin.target.AnswerText;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link AnswerChecker}.
 */
public class AnswerCheckerTests {

	private static final byte[] BODY = "a body".getBytes(StandardCharsets.US_ASCII);

	private static final int TOKENS = 12;

	@Test
	public void acceptsTheWholeAnswer() {
		assertEquals(check(new AnswerText(BODY, 7).whole(TOKENS)), AnswerVerdict.WHOLE);
	}

	@Test
	public void findsEveryShortAnswer() {
		byte[] whole = new AnswerText(BODY, 7).whole(TOKENS);
		for (int bytes = 0; bytes < whole.length; bytes++) {
			assertEquals(check(Arrays.copyOf(whole, bytes)), AnswerVerdict.SHORT);
		}
	}

	@Test
	public void findsTwoGenerationsInOneAnswer() {
		AnswerText first = new AnswerText(BODY, 7);
		AnswerText second = new AnswerText(BODY, 8);
		int end = AnswerText.wholeBytes(TOKENS);
		assertEquals(check(join(first.range(0, 40), second.range(40, end))), AnswerVerdict.FOREIGN);
	}

	@Test
	public void findsDoubledAndMissingBytes() {
		AnswerText text = new AnswerText(BODY, 7);
		int end = AnswerText.wholeBytes(TOKENS);
		assertEquals(check(join(text.range(0, 40), text.range(34, end))), AnswerVerdict.FOREIGN);
		assertEquals(check(join(text.range(0, 40), text.range(46, end))), AnswerVerdict.FOREIGN);
	}

	@Test
	public void findsTheAnswerToAnotherRequest() {
		assertEquals(check(new AnswerText(new byte[] { 1 }, 7).whole(TOKENS)), AnswerVerdict.FOREIGN);
	}

	private static AnswerVerdict check(byte[] answer) {
		return AnswerChecker.check(BODY, TOKENS, answer);
	}

	private static byte[] join(byte[] first, byte[] second) {
		ByteArrayOutputStream joined = new ByteArrayOutputStream();
		joined.writeBytes(first);
		joined.writeBytes(second);
		return joined.toByteArray();
	}

}
