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
	public void rangesSplitAtAnyOffsetJoinToTheCompleteText() {
		AnswerText text = new AnswerText(BODY, -7);
		byte[] completeText = text.whole(9);
		for (int splitOffset = 0; splitOffset <= completeText.length; splitOffset++) {
			ByteArrayOutputStream joined = new ByteArrayOutputStream();
			joined.writeBytes(text.range(0, splitOffset));
			joined.writeBytes(text.range(splitOffset, completeText.length));
			assertEquals(joined.toByteArray(), completeText);
		}
	}

	@Test
	public void tokensDependOnSeedAndBody() {
		String tokens = tokensOf(new AnswerText(BODY, 1));
		assertNotEquals(tokensOf(new AnswerText(BODY, 2)), tokens);
		assertNotEquals(tokensOf(new AnswerText(new byte[0], 1)), tokens);
	}

	private static String tokensOf(AnswerText text) {
		return new String(text.range(AnswerText.SEED_BYTES, AnswerText.wholeBytes(5)), StandardCharsets.US_ASCII);
	}

}
