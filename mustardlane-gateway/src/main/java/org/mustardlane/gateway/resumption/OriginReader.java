package org.mustardlane.gateway.resumption;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.channel.EventLoop;

import org.mustardlane.core.directory.LogPosition;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.stream.PoolVersion;
import org.mustardlane.core.stream.StreamOrigins;
import org.mustardlane.gateway.knowledge.KeyedRecord;
import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.knowledge.RecordApplier;
import org.mustardlane.gateway.knowledge.RecordBatch;
import org.mustardlane.gateway.knowledge.RecordLog;
import org.mustardlane.gateway.knowledge.Topic;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.protocol.StreamOriginGroup;
import org.mustardlane.protocol.StreamOriginsRecord;

/**
 * Reads the origins of streams from the platform's log, only while a call needs one that
 * this router does not know.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class OriginReader {

	private final StreamOrigins origins;

	private final RecordLog recordLog;

	private final EventLoop loop;

	private final MonotonicClock clock;

	private final DecisionLog log;

	private final RecordApplier recordApplier;

	private List<Runnable> waiting = new ArrayList<>();

	private LogPosition next = LogPosition.START;

	private boolean reading;

	OriginReader(StreamOrigins origins, RecordLog recordLog, EventLoop loop, MonotonicClock clock, DecisionLog log) {
		this.origins = origins;
		this.recordLog = recordLog;
		this.loop = loop;
		this.clock = clock;
		this.log = log;
		this.recordApplier = new RecordApplier(log);
	}

	/**
	 * Reads the records that were added since the last read.
	 * @param onEnd called once the read has ended or failed
	 */
	void readNew(Runnable onEnd) {
		this.waiting.add(onEnd);
		if (!this.reading) {
			this.reading = true;
			readBatch();
		}
	}

	private void readBatch() {
		long fromOffset = Math.max(0, this.next.offset());
		this.recordLog.read(Topic.STREAM_ORIGINS, fromOffset, 0)
			.whenComplete((batch, failure) -> this.loop.execute(() -> handleResult(batch, failure)));
	}

	private void handleResult(RecordBatch batch, Throwable failure) {
		if (failure != null) {
			this.log.warn(LogEvent.DEPENDENCY_LOST, "dependency", "log", "topic", Topic.STREAM_ORIGINS, "reason",
					failure.getMessage());
			end();
			return;
		}
		if (isFromOtherEpoch(batch)) {
			// Offsets of the former epoch may have been assigned again.
			this.next = new LogPosition(batch.next().epoch(), 0);
			readBatch();
			return;
		}
		boolean isStuck = batch.offsetExpired() && batch.next().equals(this.next);
		this.next = batch.next();
		batch.records().forEach(this::apply);
		if (batch.endReached() || isStuck) {
			end();
		}
		else {
			readBatch();
		}
	}

	private boolean isFromOtherEpoch(RecordBatch batch) {
		return !this.next.equals(LogPosition.START) && batch.next().epoch() != this.next.epoch();
	}

	private void end() {
		this.reading = false;
		List<Runnable> ended = this.waiting;
		this.waiting = new ArrayList<>();
		ended.forEach(Runnable::run);
	}

	private void apply(KeyedRecord logRecord) {
		this.recordApplier.apply(logRecord, (body) -> Optional.of(StreamOriginsRecord.parseFrom(body)))
			.ifPresent((message) -> message.getGroupsList().forEach(this::apply));
	}

	private void apply(StreamOriginGroup group) {
		PoolVersion origin = new PoolVersion(new PoolId(group.getPool()), group.getSoftwareVersion());
		long nowMillis = this.clock.nowMillis();
		group.getRequestIdsList().forEach((requestId) -> this.origins.record(requestId, origin, nowMillis));
	}

}
