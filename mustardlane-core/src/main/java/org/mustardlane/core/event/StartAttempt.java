package org.mustardlane.core.event;

import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.AttemptKind;

/**
 * Sends a request to a target.
 *
 * @param requestId identifier of the request
 * @param attempt number of the attempt within the request, starting at 1
 * @param target the target
 * @param kind how the attempt starts
 * @param generationId with {@code RESUME}: identifier of the generation to resume
 * @param offsetBytes with {@code RESUME} and {@code CONTINUE}: number of bytes already
 * delivered to the caller
 * @param path path of the HTTP call
 * @param serviceClass service class of the request at the engine
 * @param dispatchDeadlineMillis deadline for sending the first byte, checked immediately
 * before it; nothing may be sent after the deadline
 * @param answerDeadlineMillis deadline of the whole response, after which the attempt is
 * cancelled
 * @param fencingNumber log offset of the claim, used as the fencing number; 0 without a
 * claim
 * @param responseHeadDeadlineMillis deadline of the response head, after which the
 * attempt ends as {@code SILENT}
 * @param idleTimeoutMillis longest time to wait for the next byte, after which the
 * attempt ends as {@code SILENT}
 */
public record StartAttempt(RequestId requestId, int attempt, Target target, AttemptKind kind, String generationId,
		long offsetBytes, String path, ServiceClass serviceClass, long dispatchDeadlineMillis,
		long answerDeadlineMillis, long fencingNumber, long responseHeadDeadlineMillis,
		long idleTimeoutMillis) implements NodeAction {

	/**
	 * Creates an action without a deadline for the response head and without an idle
	 * timeout.
	 * @param requestId identifier of the request
	 * @param attempt number of the attempt within the request, starting at 1
	 * @param target the target
	 * @param kind how the attempt starts
	 * @param generationId with {@code RESUME}: identifier of the generation to resume
	 * @param offsetBytes with {@code RESUME} and {@code CONTINUE}: number of bytes
	 * already delivered to the caller
	 * @param path path of the HTTP call
	 * @param serviceClass service class of the request at the engine
	 * @param dispatchDeadlineMillis deadline for sending the first byte, checked
	 * immediately before it; nothing may be sent after the deadline
	 * @param answerDeadlineMillis deadline of the whole response, after which the attempt
	 * is cancelled
	 * @param fencingNumber log offset of the claim, used as the fencing number; 0 without
	 * a claim
	 */
	public StartAttempt(RequestId requestId, int attempt, Target target, AttemptKind kind, String generationId,
			long offsetBytes, String path, ServiceClass serviceClass, long dispatchDeadlineMillis,
			long answerDeadlineMillis, long fencingNumber) {
		this(requestId, attempt, target, kind, generationId, offsetBytes, path, serviceClass, dispatchDeadlineMillis,
				answerDeadlineMillis, fencingNumber, Long.MAX_VALUE, Long.MAX_VALUE);
	}

}
