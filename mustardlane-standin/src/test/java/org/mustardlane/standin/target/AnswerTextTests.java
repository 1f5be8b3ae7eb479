package org.mustardlane.standin.target;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

/**
 * Tests of {@link AnswerText}.
 */
public class AnswerTextTests {

	private static final byte[] BODY = "a body".getBytes(StandardCharsets.US_ASCII);

	@Test
	public void partsAtEveryByteJoinToTheWhole() {
		AnswerText text = new AnswerText(BODY, -7);
		byte[] whole = text.whole(9);
		for (int cut = 0; cut <= whole.length; cut++) {
			ByteArrayOutputStream joined = new ByteArrayOutputStream();
			joined.writeBytes(text.range(0, cut));
			joined.writeBytes(text.range(cut, whole.length));
			assertEquals(joined.toByteArray(), whole);
		}
	}

	@Test
	public void seedAndBodyChangeTheTokens() {
		String tokens = tokens(new AnswerText(BODY, 1));
		assertNotEquals(tokens(new AnswerText(BODY, 2)), tokens);
		assertNotEquals(tokens(new AnswerText(new byte[0], 1)), tokens);
	}

	private static String tokens(AnswerText text) {
		return new String(text.range(AnswerText.SEED_BYTES, AnswerText.wholeBytes(5)), StandardCharsets.US_ASCII);
	}

}
