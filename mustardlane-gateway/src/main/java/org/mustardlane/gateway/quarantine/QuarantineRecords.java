package org.mustardlane.gateway.quarantine;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;

import org.mustardlane.core.directory.LogPosition;
import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.quarantine.CallFeature;
import org.mustardlane.core.quarantine.Quarantine;
import org.mustardlane.gateway.knowledge.KeyedRecord;
import org.mustardlane.gateway.knowledge.RecordApplier;
import org.mustardlane.gateway.knowledge.RecordLog;
import org.mustardlane.gateway.knowledge.Topic;
import org.mustardlane.gateway.knowledge.TopicListener;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.protocol.QuarantineRecord;

/**
 * Stores quarantines in the platform's log and reads those of other routers, also of
 * routers that cannot be reached and of processes before a restart.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
public final class QuarantineRecords implements TopicListener, QuarantineListener {

	/**
	 * Routers decide on the same quarantine at nearly the same time; one record is
	 * enough.
	 */
	private static final int MAX_APPEND_DELAY_MILLIS = 300;

	private static final int APPEND_RETRY_MILLIS = 1000;

	/**
	 * All routers notice at the same time that the log has lost a record. One of them
	 * stores it before the others try.
	 */
	private static final int MAX_REPEAT_DELAY_MILLIS = 3000;

	private final CallQuarantine quarantine;

	private final RecordLog recordLog;

	private final EventLoop loop;

	private final DecisionLog log;

	private final RecordApplier recordApplier;

	private final Set<String> storedKeys = new HashSet<>();

	/**
	 * Creates an instance.
	 * @param quarantine receives the quarantines of other routers
	 * @param recordLog client of the log
	 * @param loop event loop of the daemon
	 * @param log log of decisions
	 */
	public QuarantineRecords(CallQuarantine quarantine, RecordLog recordLog, EventLoop loop, DecisionLog log) {
		this.quarantine = quarantine;
		this.recordLog = recordLog;
		this.loop = loop;
		this.log = log;
		this.recordApplier = new RecordApplier(log);
	}

	@Override
	public void onNews() {
		// Evidence is short-lived and goes to other routers only.
	}

	@Override
	public void onDecision(Quarantine decision) {
		// A record of an earlier quarantine of the same parts has ended.
		this.storedKeys.remove(keyOf(decision));
		appendLater(decision, ThreadLocalRandom.current().nextInt(MAX_APPEND_DELAY_MILLIS));
	}

	private void appendLater(Quarantine decision, int delayMillis) {
		this.loop.schedule(() -> append(decision), delayMillis, TimeUnit.MILLISECONDS);
	}

	private void append(Quarantine decision) {
		if (this.storedKeys.contains(keyOf(decision)) || !this.quarantine.active().contains(decision)) {
			return;
		}
		this.recordLog.append(Topic.QUARANTINES, keyOf(decision), encode(decision).toByteArray())
			.whenComplete((ignored, failure) -> {
				if (failure != null) {
					this.loop.execute(() -> handleFailedAppend(decision, failure));
				}
			});
	}

	private void handleFailedAppend(Quarantine decision, Throwable failure) {
		this.log.warn(LogEvent.DEPENDENCY_LOST, "dependency", "log", "topic", Topic.QUARANTINES, "reason",
				failure.getMessage());
		appendLater(decision, APPEND_RETRY_MILLIS);
	}

	private static String keyOf(Quarantine decision) {
		String features = decision.features()
			.stream()
			.map(CallFeature::value)
			.sorted()
			.collect(Collectors.joining(" "));
		return Long.toHexString(RendezvousHash.hash(features));
	}

	/**
	 * Encodes a quarantine.
	 * @param quarantine the quarantine
	 * @return the message
	 */
	public static QuarantineRecord encode(Quarantine quarantine) {
		return QuarantineRecord.newBuilder()
			.addAllParts(quarantine.features().stream().map(CallFeature::value).sorted().toList())
			.setEndUnixMillis(quarantine.endUnixMillis())
			.build();
	}

	/**
	 * Decodes a quarantine.
	 * @param message the message
	 * @return the quarantine
	 * @throws IllegalArgumentException if the message has no parts or an empty one
	 */
	public static Quarantine decode(QuarantineRecord message) {
		Set<CallFeature> features = message.getPartsList().stream().map(CallFeature::new).collect(Collectors.toSet());
		return new Quarantine(features, message.getEndUnixMillis());
	}

	@Override
	public void onSnapshot(List<KeyedRecord> records, LogPosition end) {
		this.storedKeys.clear();
		onRecords(records);
		for (Quarantine known : this.quarantine.active()) {
			if (!this.storedKeys.contains(keyOf(known))) {
				appendLater(known, ThreadLocalRandom.current().nextInt(MAX_REPEAT_DELAY_MILLIS));
			}
		}
	}

	@Override
	public void onRecords(List<KeyedRecord> records) {
		for (KeyedRecord logRecord : records) {
			this.storedKeys.add(logRecord.key());
			this.recordApplier.apply(logRecord, (body) -> Optional.of(decode(QuarantineRecord.parseFrom(body))))
				.ifPresent((stored) -> this.quarantine.add(stored, "log"));
		}
	}

	@Override
	public void onRestored(LogPosition before, LogPosition end) {
		this.log.warn(LogEvent.LOG_RESTORED, "topic", Topic.QUARANTINES, "before", before, "end", end);
	}

	@Override
	public void onUnavailable(String reason) {
		this.log.warn(LogEvent.DEPENDENCY_LOST, "dependency", "log", "topic", Topic.QUARANTINES, "reason", reason);
	}

	@Override
	public void onAvailable() {
		this.log.write(LogEvent.DEPENDENCY_REGAINED, "dependency", "log", "topic", Topic.QUARANTINES);
	}

}
