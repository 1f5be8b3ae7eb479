package org.mustardlane.proof.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.testng.annotations.Test;

import org.mustardlane.standin.target.ResponseText;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link ResponseChecker}.
 */
public class ResponseCheckerTests {

	private static final byte[] BODY = "a body".getBytes(StandardCharsets.US_ASCII);

	private static final int TOKENS = 12;

	@Test
	public void acceptsCompleteResponse() {
		assertEquals(check(new ResponseText(BODY, 7).bytes(TOKENS)), ResponseVerdict.WHOLE);
	}

	@Test
	public void detectsEveryTruncatedResponse() {
		byte[] complete = new ResponseText(BODY, 7).bytes(TOKENS);
		for (int bytes = 0; bytes < complete.length; bytes++) {
			assertEquals(check(Arrays.copyOf(complete, bytes)), ResponseVerdict.SHORT);
		}
	}

	@Test
	public void detectsTwoGenerationsInOneResponse() {
		ResponseText first = new ResponseText(BODY, 7);
		ResponseText second = new ResponseText(BODY, 8);
		int end = ResponseText.lengthInBytes(TOKENS);
		assertEquals(check(join(first.byteRange(0, 40), second.byteRange(40, end))), ResponseVerdict.FOREIGN);
	}

	@Test
	public void detectsDuplicatedAndMissingBytes() {
		ResponseText text = new ResponseText(BODY, 7);
		int end = ResponseText.lengthInBytes(TOKENS);
		assertEquals(check(join(text.byteRange(0, 40), text.byteRange(34, end))), ResponseVerdict.FOREIGN);
		assertEquals(check(join(text.byteRange(0, 40), text.byteRange(46, end))), ResponseVerdict.FOREIGN);
	}

	@Test
	public void detectsResponseToAnotherRequest() {
		assertEquals(check(new ResponseText(new byte[] { 1 }, 7).bytes(TOKENS)), ResponseVerdict.FOREIGN);
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
