package org.mustardlane.gateway.peer;

import java.util.Optional;
import java.util.OptionalInt;

import com.google.protobuf.ByteString;

import org.mustardlane.core.directory.LogPosition;
import org.mustardlane.core.model.common.TargetId;
import org.mustardlane.core.placement.Brittleness;
import org.mustardlane.core.placement.FleetPosition;
import org.mustardlane.core.placement.LoadSample;
import org.mustardlane.core.placement.LoadTable;
import org.mustardlane.core.placement.TargetLoad;
import org.mustardlane.gateway.knowledge.KeyedRecord;
import org.mustardlane.protocol.KnowledgeDigest;
import org.mustardlane.protocol.LogRecord;
import org.mustardlane.protocol.StatedLoad;

/**
 * Converts log records and loads to and from gRPC messages.
 */
final class DigestCodec {

	/**
	 * Loads older than this are not relayed.
	 */
	private static final int MAX_LOAD_AGE_MILLIS = 2000;

	private DigestCodec() {
	}

	/**
	 * Encodes a record.
	 * @param logRecord the record
	 * @return the message
	 */
	static LogRecord encode(KeyedRecord logRecord) {
		return LogRecord.newBuilder()
			.setKey(logRecord.key())
			.setOffset(logRecord.position().offset())
			.setEpoch(logRecord.position().epoch())
			.setBody(logRecord.body().map(ByteString::copyFrom).orElse(ByteString.EMPTY))
			.build();
	}

	/**
	 * Decodes a record.
	 * @param message the message
	 * @return the record
	 */
	static KeyedRecord decode(LogRecord message) {
		return new KeyedRecord(message.getKey(), new LogPosition(message.getEpoch(), message.getOffset()),
				message.getBody().isEmpty() ? Optional.empty() : Optional.of(message.getBody().toByteArray()));
	}

	/**
	 * Adds the recently reported loads to a digest.
	 * @param digest digest to add the loads to
	 * @param loads loads of all targets
	 * @param nowMillis current time
	 */
	static void addLoads(KnowledgeDigest.Builder digest, LoadTable loads, long nowMillis) {
		loads.snapshot().forEach((target, load) -> {
			long ageMillis = nowMillis - load.sample().receivedAtMillis();
			if (ageMillis <= MAX_LOAD_AGE_MILLIS) {
				StatedLoad.Builder message = StatedLoad.newBuilder()
					.setTarget(target.value())
					.setRunning(load.sample().running())
					.setWaiting(load.sample().waiting())
					.setSlots(load.sample().slots())
					.setSlownessPercent(load.sample().slownessPercent())
					.setAgeMillis((int) ageMillis);
				load.brittleness().fatalRefusalsPerSecond().ifPresent(message::setFatalRefusalsPerSecond);
				digest.addLoads(message);
			}
		});
	}

	/**
	 * Applies the loads that a peer relayed.
	 * @param digest digest of the peer
	 * @param loads table to update
	 * @param position this router
	 * @param nowMillis current time
	 */
	static void applyLoads(KnowledgeDigest digest, LoadTable loads, FleetPosition position, long nowMillis) {
		for (StatedLoad reported : digest.getLoadsList()) {
			TargetLoad load = loads.of(new TargetId(reported.getTarget()));
			long reportedAtMillis = nowMillis - reported.getAgeMillis();
			load.updateSample(new LoadSample(reported.getRunning(), reported.getWaiting(), reported.getSlots(),
					reported.getSlownessPercent(), reportedAtMillis));
			OptionalInt refusals = reported.hasFatalRefusalsPerSecond()
					? OptionalInt.of(reported.getFatalRefusalsPerSecond()) : OptionalInt.empty();
			load.updateBrittleness(new Brittleness(refusals, reportedAtMillis), position);
		}
	}

}
