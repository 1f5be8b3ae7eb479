package org.mustardlane.standin.target;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

/**
 * Tests of {@link ResponseText}.
 */
public class ResponseTextTests {

	private static final byte[] BODY = "a body".getBytes(StandardCharsets.US_ASCII);

	@Test
	public void rangesSplitAtAnyOffsetJoinToTheCompleteText() {
		ResponseText text = new ResponseText(BODY, -7);
		byte[] completeText = text.bytes(9);
		for (int splitOffset = 0; splitOffset <= completeText.length; splitOffset++) {
			ByteArrayOutputStream joined = new ByteArrayOutputStream();
			joined.writeBytes(text.byteRange(0, splitOffset));
			joined.writeBytes(text.byteRange(splitOffset, completeText.length));
			assertEquals(joined.toByteArray(), completeText);
		}
	}

	@Test
	public void tokensDependOnSeedAndBody() {
		String tokens = tokensOf(new ResponseText(BODY, 1));
		assertNotEquals(tokensOf(new ResponseText(BODY, 2)), tokens);
		assertNotEquals(tokensOf(new ResponseText(new byte[0], 1)), tokens);
	}

	private static String tokensOf(ResponseText text) {
		return new String(text.byteRange(ResponseText.SEED_BYTES, ResponseText.lengthInBytes(5)),
				StandardCharsets.US_ASCII);
	}

}
