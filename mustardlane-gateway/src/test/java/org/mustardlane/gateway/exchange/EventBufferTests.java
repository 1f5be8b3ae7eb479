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
 * Tests of cutting a stream into events.
 */
public class EventBufferTests {

	private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
	}

	private static String text(Optional<ByteBuf> events) {
		return events.map((buffer) -> buffer.toString(StandardCharsets.UTF_8)).orElse("");
	}

	@DataProvider
	public Object[][] sizes() {
		return new Object[][] { { 1 }, { 2 }, { 3 }, { 7 }, { 16 }, { STREAM.length() } };
	}

	@Test(dataProvider = "sizes")
	public void everyByteComesOutOnceHoweverTheStreamIsCut(int size) {
		EventBuffer events = new EventBuffer();
		StringBuilder out = new StringBuilder();
		for (int start = 0; start < STREAM.length(); start += size) {
			out.append(text(events.append(bytes(STREAM.substring(start, Math.min(STREAM.length(), start + size))))));
		}
		assertEquals(out.toString(), STREAM);
		assertEquals(events.lastEventId(), Optional.of("3"));
		assertFalse(events.hasPartialEvent());
	}

	@Test
	public void partOfAnEventIsHeldAndCanBeDropped() {
		EventBuffer events = new EventBuffer();
		assertEquals(text(events.append(bytes("id: 1\ndata: a\n\nid: 2\nda"))), "id: 1\ndata: a\n\n");
		assertTrue(events.hasPartialEvent());
		assertEquals(events.lastEventId(), Optional.of("1"));
		events.dropPartialEvent();
		assertEquals(text(events.append(bytes("id: 2\ndata: b\n\n"))), "id: 2\ndata: b\n\n");
		assertEquals(events.lastEventId(), Optional.of("2"));
	}

	@Test
	public void idThatDoesNotFollowIsNoticedAndTheLastGoodOneIsKept() {
		EventBuffer events = new EventBuffer();
		events.append(bytes("id: 4\ndata: a\n\n"));
		assertFalse(events.isOutOfOrder());
		events.append(bytes("id: 5\ndata: b\n\nid: 5\ndata: b\n\n"));
		assertTrue(events.isOutOfOrder());
		assertEquals(events.lastEventId(), Optional.of("4"));
		events.dropPartialEvent();
		assertFalse(events.isOutOfOrder());
	}

	@Test
	public void idsThatAreNoNumbersAreNotCompared() {
		EventBuffer events = new EventBuffer();
		events.append(bytes("id: b\ndata: a\n\nid: a\ndata: b\n\n"));
		assertFalse(events.isOutOfOrder());
		assertEquals(events.lastEventId(), Optional.of("a"));
	}

}
