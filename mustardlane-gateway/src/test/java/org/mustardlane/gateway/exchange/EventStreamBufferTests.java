package org.mustardlane.gateway.exchange;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of splitting an event stream into complete events.
 */
public class EventStreamBufferTests {

	private static final String EVENT_STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

	private static ByteBuf toBuffer(String content) {
		return Unpooled.copiedBuffer(content, StandardCharsets.UTF_8);
	}

	private static String toText(Optional<ByteBuf> completeEvents) {
		return completeEvents.map((buffer) -> buffer.toString(StandardCharsets.UTF_8)).orElse("");
	}

	@DataProvider
	public Object[][] partSizes() {
		return new Object[][] { { 1 }, { 2 }, { 3 }, { 7 }, { 16 }, { EVENT_STREAM.length() } };
	}

	@Test(dataProvider = "partSizes")
	public void everyByteIsReturnedOnceForAnyPartSize(int partSize) {
		EventStreamBuffer eventBuffer = new EventStreamBuffer();
		StringBuilder output = new StringBuilder();
		for (int start = 0; start < EVENT_STREAM.length(); start += partSize) {
			output.append(toText(eventBuffer
				.append(toBuffer(EVENT_STREAM.substring(start, Math.min(EVENT_STREAM.length(), start + partSize))))));
		}
		assertEquals(output.toString(), EVENT_STREAM);
		assertEquals(eventBuffer.lastEventId(), Optional.of("3"));
		assertFalse(eventBuffer.hasPartialEvent());
	}

	@Test
	public void incompleteEventIsBufferedAndCanBeDiscarded() {
		EventStreamBuffer eventBuffer = new EventStreamBuffer();
		assertEquals(toText(eventBuffer.append(toBuffer("id: 1\ndata: a\n\nid: 2\nda"))), "id: 1\ndata: a\n\n");
		assertTrue(eventBuffer.hasPartialEvent());
		assertEquals(eventBuffer.lastEventId(), Optional.of("1"));
		eventBuffer.discardPartialEvent();
		assertEquals(toText(eventBuffer.append(toBuffer("id: 2\ndata: b\n\n"))), "id: 2\ndata: b\n\n");
		assertEquals(eventBuffer.lastEventId(), Optional.of("2"));
	}

	@Test
	public void idThatDoesNotIncreaseIsDetectedAndThePreviousIdIsKept() {
		EventStreamBuffer eventBuffer = new EventStreamBuffer();
		eventBuffer.append(toBuffer("id: 4\ndata: a\n\n"));
		assertFalse(eventBuffer.isInvalid());
		eventBuffer.append(toBuffer("id: 5\ndata: b\n\nid: 5\ndata: b\n\n"));
		assertTrue(eventBuffer.isInvalid());
		assertEquals(eventBuffer.lastEventId(), Optional.of("4"));
		eventBuffer.discardPartialEvent();
		assertFalse(eventBuffer.isInvalid());
	}

	@Test
	public void nonNumericIdsAreNotCompared() {
		EventStreamBuffer eventBuffer = new EventStreamBuffer();
		eventBuffer.append(toBuffer("id: b\ndata: a\n\nid: a\ndata: b\n\n"));
		assertFalse(eventBuffer.isInvalid());
		assertEquals(eventBuffer.lastEventId(), Optional.of("a"));
	}

}
