package org.mustardlane.router.caller;

import java.util.EnumMap;
import java.util.Map;

import org.mustardlane.core.model.execution.RefusalCode;

/**
 * Maps refusal codes to HTTP statuses; part of the contract with callers.
 */
final class RefusalStatus {

	private static final Map<RefusalCode, Integer> STATUSES = createStatuses();

	private RefusalStatus() {
	}

	/**
	 * Returns the HTTP status of a refusal code.
	 * @param code the refusal code
	 * @return the status
	 */
	static int of(RefusalCode code) {
		return STATUSES.getOrDefault(code, 503);
	}

	private static Map<RefusalCode, Integer> createStatuses() {
		Map<RefusalCode, Integer> statuses = new EnumMap<>(RefusalCode.class);
		statuses.put(RefusalCode.BAD_REQUEST, 400);
		statuses.put(RefusalCode.KEY_REQUIRED, 400);
		statuses.put(RefusalCode.UNAUTHORIZED, 401);
		statuses.put(RefusalCode.UNKNOWN_ENTRY, 404);
		statuses.put(RefusalCode.BODY_TOO_LARGE, 413);
		statuses.put(RefusalCode.KEY_REUSED, 422);
		statuses.put(RefusalCode.LIMIT_REACHED, 429);
		statuses.put(RefusalCode.TARGET_FAILED, 502);
		statuses.put(RefusalCode.OVERLOADED, 503);
		statuses.put(RefusalCode.NO_TARGET, 503);
		statuses.put(RefusalCode.LOG_UNAVAILABLE, 503);
		statuses.put(RefusalCode.DRAINING, 503);
		statuses.put(RefusalCode.NOT_READY, 503);
		statuses.put(RefusalCode.DEADLINE_PASSED, 504);
		statuses.put(RefusalCode.HOLDER_GONE, 504);
		return statuses;
	}

}
