package org.mustardlane.gateway.peer;

import java.util.List;

import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.quarantine.CallFeature;
import org.mustardlane.core.quarantine.LostCall;
import org.mustardlane.core.quarantine.StartedResponse;
import org.mustardlane.gateway.quarantine.CallQuarantine;
import org.mustardlane.gateway.quarantine.QuarantineRecords;
import org.mustardlane.protocol.KnowledgeDigest;
import org.mustardlane.protocol.LostCallReport;
import org.mustardlane.protocol.QuarantineRecord;
import org.mustardlane.protocol.StartedResponseReport;

/**
 * Converts what routers know about calls that crash targets to and from gRPC messages.
 */
final class EvidenceCodec {

	/**
	 * Time that a response may have taken from the router where it started to this one.
	 */
	private static final int MAX_RELAY_MILLIS = 1000;

	private EvidenceCodec() {
	}

	/**
	 * Adds recent evidence and the quarantines in force to a digest.
	 * @param digest digest to add to
	 * @param quarantine what this router knows
	 * @param sinceMillis time from which on evidence is recent
	 * @param nowMillis current time
	 */
	static void addTo(KnowledgeDigest.Builder digest, CallQuarantine quarantine, long sinceMillis, long nowMillis) {
		quarantine.lostCallsLearntAfter(sinceMillis)
			.forEach((call) -> digest.addLostCalls(LostCallReport.newBuilder()
				.setTarget(call.target().value())
				.setRequestId(call.requestId())
				.addAllParts(names(call.promptParts()))
				.addAllContents(names(call.contents()))
				.setStarted(call.started())
				.setHeldMillis(ageMillis(call.sentAtMillis(), call.lostAtMillis()))
				.setAgeMillis(ageMillis(call.lostAtMillis(), nowMillis))));
		quarantine.contradictionsSince(sinceMillis - MAX_RELAY_MILLIS)
			.forEach((response) -> digest.addStartedResponses(StartedResponseReport.newBuilder()
				.setTarget(response.target().value())
				.addAllParts(names(response.features()))
				.setAgeMillis(ageMillis(response.startedAtMillis(), nowMillis))));
		quarantine.active().forEach((active) -> digest.addQuarantines(QuarantineRecords.encode(active)));
	}

	private static int ageMillis(long atMillis, long nowMillis) {
		return (int) Math.max(0, nowMillis - atMillis);
	}

	private static List<String> names(List<CallFeature> features) {
		return features.stream().map(CallFeature::value).toList();
	}

	private static List<CallFeature> features(List<String> names) {
		return names.stream().map(CallFeature::new).toList();
	}

	/**
	 * Applies the evidence and the quarantines of a peer.
	 * @param digest digest of the peer
	 * @param sender the VM of the peer, for the log
	 * @param quarantine what this router knows
	 * @param nowMillis current time
	 * @throws IllegalArgumentException if a target or a feature has an empty id
	 */
	static void apply(KnowledgeDigest digest, String sender, CallQuarantine quarantine, long nowMillis) {
		for (LostCallReport report : digest.getLostCallsList()) {
			quarantine.recordLoss(decode(report, nowMillis));
		}
		for (StartedResponseReport report : digest.getStartedResponsesList()) {
			quarantine.recordRelayedStart(new StartedResponse(new TargetId(report.getTarget()),
					features(report.getPartsList()), nowMillis - report.getAgeMillis()));
		}
		for (QuarantineRecord message : digest.getQuarantinesList()) {
			quarantine.add(QuarantineRecords.decode(message), sender);
		}
	}

	private static LostCall decode(LostCallReport report, long nowMillis) {
		long lostAtMillis = nowMillis - report.getAgeMillis();
		long sentAtMillis = report.hasHeldMillis() ? lostAtMillis - report.getHeldMillis() : Long.MIN_VALUE;
		return new LostCall(new TargetId(report.getTarget()), report.getRequestId(), features(report.getPartsList()),
				features(report.getContentsList()), report.getStarted(), sentAtMillis, lostAtMillis);
	}

}
