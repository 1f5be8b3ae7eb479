package org.mustardlane.proof.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.testng.annotations.Test;

import org.mustardlane.standin.target.AnswerText;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link ResponseChecker}.
 */
public class ResponseCheckerTests {

	private static final byte[] BODY = "a body".getBytes(StandardCharsets.US_ASCII);

	private static final int TOKENS = 12;

	@Test
	public void acceptsCompleteResponse() {
		assertEquals(check(new AnswerText(BODY, 7).whole(TOKENS)), ResponseVerdict.WHOLE);
	}

	@Test
	public void detectsEveryTruncatedResponse() {
		byte[] complete = new AnswerText(BODY, 7).whole(TOKENS);
		for (int bytes = 0; bytes < complete.length; bytes++) {
			assertEquals(check(Arrays.copyOf(complete, bytes)), ResponseVerdict.SHORT);
		}
	}

	@Test
	public void detectsTwoGenerationsInOneResponse() {
		AnswerText first = new AnswerText(BODY, 7);
		AnswerText second = new AnswerText(BODY, 8);
		int end = AnswerText.wholeBytes(TOKENS);
		assertEquals(check(join(first.range(0, 40), second.range(40, end))), ResponseVerdict.FOREIGN);
	}

	@Test
	public void detectsDuplicatedAndMissingBytes() {
		AnswerText text = new AnswerText(BODY, 7);
		int end = AnswerText.wholeBytes(TOKENS);
		assertEquals(check(join(text.range(0, 40), text.range(34, end))), ResponseVerdict.FOREIGN);
		assertEquals(check(join(text.range(0, 40), text.range(46, end))), ResponseVerdict.FOREIGN);
	}

	@Test
	public void detectsResponseToAnotherRequest() {
		assertEquals(check(new AnswerText(new byte[] { 1 }, 7).whole(TOKENS)), ResponseVerdict.FOREIGN);
	}

	private static ResponseVerdict check(byte[] response) {
		return ResponseChecker.check(BODY, TOKENS, response);
	}

	private static byte[] join(byte[] first, byte[] second) {
		ByteArrayOutputStream joined = new ByteArrayOutputStream();
		joined.writeBytes(first);
		joined.writeBytes(second);
		return joined.toByteArray();
	}

}
