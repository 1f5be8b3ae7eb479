package org.mustardlane.router.answer;

import java.util.OptionalLong;

import org.testng.annotations.Test;

import org.mustardlane.core.model.execution.Outcome;
import org.mustardlane.core.model.execution.Refusal;
import org.mustardlane.core.model.execution.RefusalCode;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests of answers with one caller and joined readers.
 */
public class AnswerRelayTests {

	private static final int COPY_BYTES = 10;

	private static final AnswerHead HEAD = new AnswerHead(200, "text/plain", OptionalLong.empty());

	private static AnswerRelay relay(AnswerReader caller) {
		return new AnswerRelay(caller, COPY_BYTES);
	}

	private static void write(AnswerRelay relay, String part) {
		relay.write(part.getBytes(), () -> {
		});
	}

	@Test
	public void joinedReaderGetsTheAnswerFromItsFirstByte() {
		RecordingReader early = new RecordingReader(false);
		RecordingReader late = new RecordingReader(false);
		AnswerRelay relay = relay(new RecordingReader(false));
		relay.join(early);
		relay.begin(HEAD);
		write(relay, "one");
		relay.join(late);
		write(relay, "two");
		relay.finish();
		assertEquals(early.body() + " " + early.end(), "onetwo finished");
		assertEquals(late.body() + " " + late.end(), "onetwo finished");
	}

	@Test
	public void heldAnswerThatBreaksStartsOver() {
		RecordingReader reader = new RecordingReader(false);
		AnswerRelay relay = relay(reader);
		relay.begin(new AnswerHead(200, "text/plain", OptionalLong.of(6)));
		write(relay, "one");
		assertTrue(relay.restart());
		relay.begin(new AnswerHead(200, "text/plain", OptionalLong.of(6)));
		write(relay, "second");
		relay.finish();
		assertEquals(reader.body() + " " + reader.end(), "second finished");
	}

	@Test
	public void streamedAnswerNeverStartsOver() {
		AnswerRelay relay = relay(new RecordingReader(false));
		relay.begin(HEAD);
		assertFalse(relay.restart());
	}

	@Test
	public void slowJoinedReaderHoldsNobodyBack() {
		RecordingReader slow = new RecordingReader(true);
		RecordingReader reader = new RecordingReader(false);
		AnswerRelay relay = relay(reader);
		relay.join(slow);
		relay.begin(HEAD);
		write(relay, "one");
		write(relay, "two");
		relay.finish();
		assertEquals(reader.body() + " " + reader.end(), "onetwo finished");
		assertEquals(slow.body() + " " + slow.end(), "one ");
		slow.letOneGo();
		assertEquals(slow.body() + " " + slow.end(), "onetwo ");
		slow.letOneGo();
		assertEquals(slow.body() + " " + slow.end(), "onetwo finished");
	}

	@Test
	public void joinedReaderOfATooLargeAnswerIsBrokenOff() {
		RecordingReader joined = new RecordingReader(false);
		RecordingReader reader = new RecordingReader(false);
		AnswerRelay relay = relay(reader);
		relay.join(joined);
		relay.begin(HEAD);
		write(relay, "12345678");
		write(relay, "12345678");
		relay.finish();
		assertEquals(joined.end(), "aborted");
		assertEquals(reader.body() + " " + reader.end(), "1234567812345678 finished");
		assertTrue(relay.stored(100).isEmpty());
		assertTrue(relay.delivered(4).isEmpty());
		assertEquals(relay.deliveredBytes(), 16);
	}

	@Test
	public void joinedReaderLearnsThatTheAnswerBroke() {
		RecordingReader joined = new RecordingReader(false);
		AnswerRelay relay = relay(new RecordingReader(false));
		relay.begin(HEAD);
		write(relay, "one");
		relay.join(joined);
		relay.abort(new Refusal(Outcome.UNKNOWN, RefusalCode.TARGET_FAILED, "gone", 0));
		assertEquals(joined.body() + " " + joined.end(), "one aborted");
	}

	@Test
	public void joinedReaderLearnsThatNothingMoreComes() {
		RecordingReader joined = new RecordingReader(false);
		AnswerRelay relay = relay(new RecordingReader(false));
		relay.join(joined);
		relay.close();
		assertEquals(joined.end(), "aborted");
	}

	@Test
	public void joinedReaderEndsWithTheAttemptWhereTheCallerHasGone() {
		RecordingReader joined = new RecordingReader(false);
		RecordingReader reader = new RecordingReader(false);
		AnswerRelay relay = relay(reader);
		relay.begin(HEAD);
		write(relay, "one");
		relay.join(joined);
		relay.finishJoined();
		relay.close();
		assertEquals(joined.body() + " " + joined.end(), "one finished");
		assertEquals(reader.end(), "");
	}

	@Test
	public void resumedAnswerGoesOnUnderItsFirstHead() {
		RecordingReader reader = new RecordingReader(false);
		AnswerRelay relay = relay(reader);
		relay.begin(HEAD);
		write(relay, "one");
		relay.begin(HEAD);
		write(relay, "two");
		assertEquals(reader.heads(), 1);
		assertEquals(reader.body(), "onetwo");
		assertEquals(new String(relay.delivered(4).orElseThrow()), "onet");
		assertFalse(relay.delivered(7).isPresent());
		assertEquals(new String(relay.stored(6).orElseThrow().body()), "onetwo");
		assertTrue(relay.stored(5).isEmpty());
	}

}
