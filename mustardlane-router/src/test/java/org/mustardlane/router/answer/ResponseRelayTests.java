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
 * Tests the relay of a response to a caller and to joined sinks.
 */
public class ResponseRelayTests {

	private static final int COPY_BYTES = 10;

	private static final ResponseHead HEAD = new ResponseHead(200, "text/plain", OptionalLong.empty());

	private static ResponseRelay createRelay(ResponseSink callerSink) {
		return new ResponseRelay(callerSink, COPY_BYTES);
	}

	private static void write(ResponseRelay relay, String part) {
		relay.write(part.getBytes(), () -> {
		});
	}

	@Test
	public void joinedSinkReceivesTheResponseFromItsFirstByte() {
		RecordingSink earlySink = new RecordingSink(false);
		RecordingSink lateSink = new RecordingSink(false);
		ResponseRelay relay = createRelay(new RecordingSink(false));
		relay.addSink(earlySink);
		relay.begin(HEAD);
		write(relay, "one");
		relay.addSink(lateSink);
		write(relay, "two");
		relay.finish();
		assertEquals(earlySink.body() + " " + earlySink.outcome(), "onetwo finished");
		assertEquals(lateSink.body() + " " + lateSink.outcome(), "onetwo finished");
	}

	@Test
	public void bufferedResponseCanBeRestarted() {
		RecordingSink callerSink = new RecordingSink(false);
		ResponseRelay relay = createRelay(callerSink);
		relay.begin(new ResponseHead(200, "text/plain", OptionalLong.of(6)));
		write(relay, "one");
		assertTrue(relay.restart());
		relay.begin(new ResponseHead(200, "text/plain", OptionalLong.of(6)));
		write(relay, "second");
		relay.finish();
		assertEquals(callerSink.body() + " " + callerSink.outcome(), "second finished");
	}

	@Test
	public void streamedResponseCannotBeRestarted() {
		ResponseRelay relay = createRelay(new RecordingSink(false));
		relay.begin(HEAD);
		assertFalse(relay.restart());
	}

	@Test
	public void slowJoinedSinkDoesNotDelayTheCaller() {
		RecordingSink slowSink = new RecordingSink(true);
		RecordingSink callerSink = new RecordingSink(false);
		ResponseRelay relay = createRelay(callerSink);
		relay.addSink(slowSink);
		relay.begin(HEAD);
		write(relay, "one");
		write(relay, "two");
		relay.finish();
		assertEquals(callerSink.body() + " " + callerSink.outcome(), "onetwo finished");
		assertEquals(slowSink.body() + " " + slowSink.outcome(), "one ");
		slowSink.runNextCallback();
		assertEquals(slowSink.body() + " " + slowSink.outcome(), "onetwo ");
		slowSink.runNextCallback();
		assertEquals(slowSink.body() + " " + slowSink.outcome(), "onetwo finished");
	}

	@Test
	public void joinedSinkIsAbortedIfTheResponseExceedsTheCopy() {
		RecordingSink joinedSink = new RecordingSink(false);
		RecordingSink callerSink = new RecordingSink(false);
		ResponseRelay relay = createRelay(callerSink);
		relay.addSink(joinedSink);
		relay.begin(HEAD);
		write(relay, "12345678");
		write(relay, "12345678");
		relay.finish();
		assertEquals(joinedSink.outcome(), "aborted");
		assertEquals(callerSink.body() + " " + callerSink.outcome(), "1234567812345678 finished");
		assertTrue(relay.toStoredResponse(100).isEmpty());
		assertTrue(relay.deliveredPrefix(4).isEmpty());
		assertEquals(relay.deliveredBytes(), 16);
	}

	@Test
	public void joinedSinkIsAbortedWithTheResponse() {
		RecordingSink joinedSink = new RecordingSink(false);
		ResponseRelay relay = createRelay(new RecordingSink(false));
		relay.begin(HEAD);
		write(relay, "one");
		relay.addSink(joinedSink);
		relay.abort(new Refusal(Outcome.UNKNOWN, RefusalCode.TARGET_FAILED, "gone", 0));
		assertEquals(joinedSink.body() + " " + joinedSink.outcome(), "one aborted");
	}

	@Test
	public void joinedSinkIsAbortedWhenTheRelayIsClosed() {
		RecordingSink joinedSink = new RecordingSink(false);
		ResponseRelay relay = createRelay(new RecordingSink(false));
		relay.addSink(joinedSink);
		relay.close();
		assertEquals(joinedSink.outcome(), "aborted");
	}

	@Test
	public void joinedSinkIsFinishedAfterTheCallerHasDisconnected() {
		RecordingSink joinedSink = new RecordingSink(false);
		RecordingSink callerSink = new RecordingSink(false);
		ResponseRelay relay = createRelay(callerSink);
		relay.begin(HEAD);
		write(relay, "one");
		relay.addSink(joinedSink);
		relay.finishJoinedSinks();
		relay.close();
		assertEquals(joinedSink.body() + " " + joinedSink.outcome(), "one finished");
		assertEquals(callerSink.outcome(), "");
	}

	@Test
	public void resumedResponseKeepsItsFirstHead() {
		RecordingSink callerSink = new RecordingSink(false);
		ResponseRelay relay = createRelay(callerSink);
		relay.begin(HEAD);
		write(relay, "one");
		relay.begin(HEAD);
		write(relay, "two");
		assertEquals(callerSink.headCount(), 1);
		assertEquals(callerSink.body(), "onetwo");
		assertEquals(new String(relay.deliveredPrefix(4).orElseThrow()), "onet");
		assertFalse(relay.deliveredPrefix(7).isPresent());
		assertEquals(new String(relay.toStoredResponse(6).orElseThrow().body()), "onetwo");
		assertTrue(relay.toStoredResponse(5).isEmpty());
	}

}
