package org.mustardlane.router.target;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.buffer.Unpooled;
import org.asynchttpclient.netty.EagerResponseBodyPart;
import org.testng.annotations.Test;

import org.mustardlane.core.event.StartAttempt;
import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.model.execution.AttemptKind;
import org.mustardlane.core.model.execution.AttemptResult;
import org.mustardlane.router.answer.ResponseHead;

import static org.testng.Assert.assertEquals;

/**
 * Tests of {@link TargetAttempt}.
 */
public class TargetAttemptTests {

	@Test
	public void resultIsReportedAfterPartBeingDelivered() {
		List<String> calls = new ArrayList<>();
		AtomicReference<TargetAttempt> attempt = new AtomicReference<>();
		attempt.set(new TargetAttempt(request(), new AttemptObserver() {
			@Override
			public void headReceived(ResponseHead responseHead, Optional<String> generationId) {
				calls.add("head");
			}

			@Override
			public void partReceived(byte[] part, long totalBytes, Runnable onReady) {
				attempt.get().onThrowable(new IOException("connection lost during delivery"));
				calls.add("part");
			}

			@Override
			public void attemptEnded(AttemptResult result, String detail) {
				calls.add("end");
			}
		}, () -> 0));
		attempt.get().forward();
		attempt.get().onBodyPartReceived(new EagerResponseBodyPart(Unpooled.wrappedBuffer(new byte[] { 1 }), false));
		assertEquals(calls, List.of("part", "end"));
	}

	private static AttemptRequest request() {
		Target target = new Target(new TargetId("t"), new PoolId("p"), TargetKind.ENGINE, new DomainId("d"),
				"127.0.0.1", 1, 1, false);
		StartAttempt action = new StartAttempt(new RequestId("r-1"), 1, target, AttemptKind.FRESH, "", 0, "/run",
				ServiceClass.URGENT, 2000, 2000, 0);
		return new AttemptRequest(action, "text/plain", new byte[0], Optional.empty(), Optional.empty());
	}

}
