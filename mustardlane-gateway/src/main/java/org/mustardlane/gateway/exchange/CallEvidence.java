package org.mustardlane.gateway.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.quarantine.CallFeature;
import org.mustardlane.core.quarantine.LostCall;
import org.mustardlane.core.quarantine.StartedResponse;
import org.mustardlane.gateway.quarantine.QuarantineMatch;

/**
 * What one call shows about the features that crash targets.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class CallEvidence {

	/**
	 * Number of events after which a target has survived the start of its response. It
	 * may crash after the first one is on its way.
	 */
	private static final int STARTED_EVENTS = 2;

	private final ExchangeContext context;

	private final String requestId;

	private final CallFeatures features;

	private boolean responseStarted;

	CallEvidence(ExchangeContext context, String requestId, CallFeatures features) {
		this.context = context;
		this.requestId = requestId;
		this.features = features;
	}

	/**
	 * Returns the quarantine that applies to the call before it is sent. Once its
	 * response has started, the parts of its prompt are no cause of a crash.
	 * @return the quarantine, or empty if the call may be sent
	 */
	Optional<QuarantineMatch> findQuarantine() {
		List<CallFeature> suspects = this.responseStarted ? this.features.contents() : this.features.all();
		return this.context.quarantine().find(suspects);
	}

	boolean isResponseStarted() {
		return this.responseStarted;
	}

	/**
	 * Records that a target ended its connection, so that the call may have crashed it.
	 * @param target the target
	 * @param sentAtMillis time at which the call was sent to the target
	 */
	void recordLostConnection(TargetEntry target, long sentAtMillis) {
		List<CallFeature> promptParts = this.responseStarted ? List.of() : this.features.promptParts();
		check(target, promptParts, sentAtMillis);
	}

	/**
	 * Records that a target has fallen silent, so that the call may have crashed it. When
	 * many targets fall silent together, their calls are given up at different moments,
	 * and would look like separate crashes by what their prompts share. The content of a
	 * call has no such company.
	 * @param target the target
	 * @param sentAtMillis time at which the call was sent to the target
	 */
	void recordSilence(TargetEntry target, long sentAtMillis) {
		check(target, List.of(), sentAtMillis);
	}

	private void check(TargetEntry target, List<CallFeature> promptParts, long sentAtMillis) {
		this.context.crashCheck()
			.check(target, new LostCall(target.id(), this.requestId, promptParts, this.features.contents(),
					this.responseStarted, sentAtMillis, this.context.nowMillis()));
	}

	/**
	 * Records that another router has forwarded the first event. It watches the target.
	 */
	void recordRelayedStart() {
		this.responseStarted = true;
	}

	/**
	 * Records that a target has sent a further part of the response.
	 * @param target the target
	 * @param eventCount number of events of the response so far
	 */
	void recordProgress(TargetEntry target, int eventCount) {
		if (!this.responseStarted && eventCount >= STARTED_EVENTS) {
			this.responseStarted = true;
			recordSurvival(target, this.features.promptParts());
		}
	}

	/**
	 * Records that a target has sent a complete successful response.
	 * @param target the target
	 */
	void recordCompletion(TargetEntry target) {
		List<CallFeature> survived = new ArrayList<>(this.features.contents());
		if (!this.responseStarted) {
			survived.addAll(this.features.promptParts());
		}
		this.responseStarted = true;
		recordSurvival(target, survived);
	}

	private void recordSurvival(TargetEntry target, List<CallFeature> survived) {
		this.context.quarantine().recordStart(new StartedResponse(target.id(), survived, this.context.nowMillis()));
	}

	CallFeatures features() {
		return this.features;
	}

}
