package org.mustardlane.core.event;

import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.execution.AttemptKind;

/**
 * Send a request to a target.
 *
 * @param requestId the request
 * @param attempt number of the attempt, from 1
 * @param target the target
 * @param kind how the attempt begins
 * @param generationId with {@code RESUME}: the generation to read on
 * @param offsetBytes with {@code RESUME} and {@code CONTINUE}: bytes already delivered
 * @param path path of the call
 * @param serviceClass priority at the engine
 * @param dispatchDeadlineMillis checked last before the first byte: after it nothing may
 * be sent
 * @param answerDeadlineMillis when the attempt is given up
 * @param fencingNumber log offset of the claim, 0 without one
 * @param headDeadlineMillis when the attempt ends as silent if no head of an answer has
 * come
 * @param silenceLimitMillis longest time without a byte while one is waited for, after
 * which the attempt ends as silent
 */
public record StartAttempt(RequestId requestId, int attempt, Target target, AttemptKind kind, String generationId,
		long offsetBytes, String path, ServiceClass serviceClass, long dispatchDeadlineMillis,
		long answerDeadlineMillis, long fencingNumber, long headDeadlineMillis,
		long silenceLimitMillis) implements NodeAction {

	/**
	 * Creates an action whose attempt may be silent until its answer deadline.
	 * @param requestId the request
	 * @param attempt number of the attempt, from 1
	 * @param target the target
	 * @param kind how the attempt begins
	 * @param generationId with {@code RESUME}: the generation to read on
	 * @param offsetBytes with {@code RESUME} and {@code CONTINUE}: bytes already
	 * delivered
	 * @param path path of the call
	 * @param serviceClass priority at the engine
	 * @param dispatchDeadlineMillis checked last before the first byte: after it nothing
	 * may be sent
	 * @param answerDeadlineMillis when the attempt is given up
	 * @param fencingNumber log offset of the claim, 0 without one
	 */
	public StartAttempt(RequestId requestId, int attempt, Target target, AttemptKind kind, String generationId,
			long offsetBytes, String path, ServiceClass serviceClass, long dispatchDeadlineMillis,
			long answerDeadlineMillis, long fencingNumber) {
		this(requestId, attempt, target, kind, generationId, offsetBytes, path, serviceClass, dispatchDeadlineMillis,
				answerDeadlineMillis, fencingNumber, Long.MAX_VALUE, Long.MAX_VALUE);
	}

}
