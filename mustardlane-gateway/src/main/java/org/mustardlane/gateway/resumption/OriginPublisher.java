package org.mustardlane.gateway.resumption;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

import io.netty.channel.EventLoop;

import org.mustardlane.core.stream.PoolVersion;
import org.mustardlane.core.stream.PoolVersions;
import org.mustardlane.core.stream.StreamOrigins;
import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.knowledge.RecordLog;
import org.mustardlane.gateway.knowledge.Topic;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.protocol.StreamOriginGroup;
import org.mustardlane.protocol.StreamOriginsRecord;

/**
 * Stores the origins of the streams that this router has begun in the platform's log,
 * several at a time, for pools with several software versions. Those of the other pools
 * are kept until their pool gets a second version or their callers no longer take them
 * up.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class OriginPublisher {

	private static final int MIN_DELAY_MILLIS = 150;

	/**
	 * Keeps the writes of all routers together within 350 per second.
	 */
	private static final int DELAY_PER_ROUTER_MILLIS = 3;

	private static final int RETRY_MILLIS = 1000;

	private static final int MAX_STREAMS = 20_000;

	private final PoolVersions versions;

	private final RecordLog recordLog;

	private final EventLoop loop;

	private final MonotonicClock clock;

	private final DecisionLog log;

	private final IntSupplier routerCount;

	private final Map<String, OwnStream> unpublished = new LinkedHashMap<>();

	private boolean scheduled;

	OriginPublisher(PoolVersions versions, RecordLog recordLog, EventLoop loop, MonotonicClock clock, DecisionLog log,
			IntSupplier routerCount) {
		this.versions = versions;
		this.recordLog = recordLog;
		this.loop = loop;
		this.clock = clock;
		this.log = log;
		this.routerCount = routerCount;
	}

	/**
	 * Adds a stream that this router has begun.
	 * @param requestId id of the request that brought the first event
	 * @param origin origin of the stream
	 */
	void add(String requestId, PoolVersion origin) {
		long nowMillis = this.clock.nowMillis();
		discardExpired(nowMillis);
		this.unpublished.put(requestId, new OwnStream(origin, nowMillis));
		if (this.versions.isMixed(origin.pool())) {
			schedule(delayMillis());
		}
	}

	private void discardExpired(long nowMillis) {
		List<String> expired = new ArrayList<>();
		int excessCount = this.unpublished.size() - MAX_STREAMS + 1;
		for (Map.Entry<String, OwnStream> oldest : this.unpublished.entrySet()) {
			boolean isExpired = nowMillis - oldest.getValue().begunAtMillis > StreamOrigins.RETENTION_MILLIS;
			if (!isExpired && expired.size() >= excessCount) {
				break;
			}
			expired.add(oldest.getKey());
		}
		expired.forEach(this.unpublished::remove);
	}

	/**
	 * Returns the longest time from the beginning of a stream until its origin is sent to
	 * the log.
	 * @return the time in milliseconds
	 */
	int delayMillis() {
		return Math.max(MIN_DELAY_MILLIS, this.routerCount.getAsInt() * DELAY_PER_ROUTER_MILLIS);
	}

	/**
	 * Publishes the streams of pools that have several versions by now.
	 */
	void publishMixedPools() {
		boolean isDue = this.unpublished.values()
			.stream()
			.anyMatch((stream) -> this.versions.isMixed(stream.origin.pool()));
		if (isDue) {
			schedule(0);
		}
	}

	private void schedule(int millis) {
		if (!this.scheduled) {
			this.scheduled = true;
			this.loop.schedule(this::publish, millis, TimeUnit.MILLISECONDS);
		}
	}

	private void publish() {
		this.scheduled = false;
		Map<String, OwnStream> batch = new LinkedHashMap<>();
		this.unpublished.forEach((requestId, stream) -> {
			if (this.versions.isMixed(stream.origin.pool())) {
				batch.put(requestId, stream);
			}
		});
		if (batch.isEmpty()) {
			return;
		}
		batch.keySet().forEach(this.unpublished::remove);
		this.recordLog.append(Topic.STREAM_ORIGINS, "", encode(batch).toByteArray())
			.whenComplete((ignored, failure) -> {
				if (failure != null) {
					this.loop.execute(() -> handleFailure(batch, failure));
				}
			});
	}

	private static StreamOriginsRecord encode(Map<String, OwnStream> batch) {
		Map<PoolVersion, StreamOriginGroup.Builder> groups = new HashMap<>();
		batch.forEach(
				(requestId, stream) -> groups
					.computeIfAbsent(stream.origin,
							(origin) -> StreamOriginGroup.newBuilder()
								.setPool(origin.pool().value())
								.setSoftwareVersion(origin.softwareVersion()))
					.addRequestIds(requestId));
		StreamOriginsRecord.Builder message = StreamOriginsRecord.newBuilder();
		groups.values().forEach(message::addGroups);
		return message.build();
	}

	private void handleFailure(Map<String, OwnStream> batch, Throwable failure) {
		this.log.warn(LogEvent.DEPENDENCY_LOST, "dependency", "log", "topic", Topic.STREAM_ORIGINS, "reason",
				failure.getMessage());
		batch.forEach(this.unpublished::putIfAbsent);
		discardExpired(this.clock.nowMillis());
		schedule(RETRY_MILLIS);
	}

	private record OwnStream(PoolVersion origin, long begunAtMillis) {

	}

}
