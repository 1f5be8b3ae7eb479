package org.mustardlane.gateway.resumption;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.RendezvousHash;
import org.mustardlane.core.stream.PoolVersion;
import org.mustardlane.core.stream.PoolVersions;
import org.mustardlane.gateway.knowledge.KeyedRecord;
import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.knowledge.RecordApplier;
import org.mustardlane.gateway.knowledge.RecordLog;
import org.mustardlane.gateway.knowledge.SnapshotPage;
import org.mustardlane.gateway.knowledge.Topic;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;
import org.mustardlane.protocol.PoolVersionRecord;

/**
 * Stores in the platform's log which software versions serve, so that a router that has
 * just started knows of versions that have left meanwhile.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class VersionRecords {

	private static final int READ_RETRY_MILLIS = 300;

	/**
	 * All routers see a new version at the same time; one of them stores it before the
	 * others try.
	 */
	private static final int MAX_APPEND_DELAY_MILLIS = 500;

	private static final int MAX_REMOVAL_DELAY_MILLIS = 5000;

	private final PoolVersions versions;

	private final RecordLog recordLog;

	private final EventLoop loop;

	private final MonotonicClock clock;

	private final DecisionLog log;

	private final RecordApplier recordApplier;

	private final Set<PoolVersion> stored = new HashSet<>();

	private final Set<PoolVersion> scheduled = new HashSet<>();

	private boolean loaded;

	VersionRecords(PoolVersions versions, RecordLog recordLog, EventLoop loop, MonotonicClock clock, DecisionLog log) {
		this.versions = versions;
		this.recordLog = recordLog;
		this.loop = loop;
		this.clock = clock;
		this.log = log;
		this.recordApplier = new RecordApplier(log);
	}

	/**
	 * Reads the stored versions, and tries again until it succeeds.
	 */
	void load() {
		readAll(Optional.empty(), () -> this.loaded = true,
				() -> this.loop.schedule(this::load, READ_RETRY_MILLIS, TimeUnit.MILLISECONDS));
	}

	/**
	 * Reads the stored versions again. Until this has succeeded, they count as not known.
	 */
	void reload() {
		if (this.loaded) {
			this.loaded = false;
			load();
		}
	}

	/**
	 * Returns whether the versions that were stored before the start of this process are
	 * known.
	 * @return true once they were read
	 */
	boolean isLoaded() {
		return this.loaded;
	}

	/**
	 * Forgets what the log is known to hold, because it was restored from an older copy.
	 */
	void onRestored() {
		this.stored.clear();
	}

	/**
	 * Stores the versions that the log does not hold yet.
	 */
	void storeNew() {
		if (!this.loaded) {
			return;
		}
		for (PoolVersion version : this.versions.all()) {
			if (!this.stored.contains(version) && this.scheduled.add(version)) {
				this.loop.schedule(() -> store(version), ThreadLocalRandom.current().nextInt(MAX_APPEND_DELAY_MILLIS),
						TimeUnit.MILLISECONDS);
			}
		}
	}

	private void store(PoolVersion version) {
		readAll(Optional.empty(), () -> {
			if (this.stored.contains(version)) {
				this.scheduled.remove(version);
				return;
			}
			PoolVersionRecord message = PoolVersionRecord.newBuilder()
				.setPool(version.pool().value())
				.setSoftwareVersion(version.softwareVersion())
				.build();
			append(version, message.toByteArray(), () -> this.stored.add(version));
		}, () -> this.scheduled.remove(version));
	}

	/**
	 * Removes a version that no target has had for long.
	 * @param version the version
	 */
	void removeLater(PoolVersion version) {
		if (this.stored.remove(version) && this.scheduled.add(version)) {
			this.loop.schedule(() -> remove(version), ThreadLocalRandom.current().nextInt(MAX_REMOVAL_DELAY_MILLIS),
					TimeUnit.MILLISECONDS);
		}
	}

	private void remove(PoolVersion version) {
		if (this.versions.all().contains(version)) {
			this.scheduled.remove(version);
			return;
		}
		append(version, new byte[0], () -> {
		});
	}

	private void append(PoolVersion version, byte[] body, Runnable onStored) {
		this.recordLog.append(Topic.POOL_VERSIONS, keyOf(version), body)
			.whenComplete((ignored, failure) -> this.loop.execute(() -> {
				this.scheduled.remove(version);
				if (failure == null) {
					onStored.run();
				}
				else {
					logFailure(failure);
				}
			}));
	}

	private static String keyOf(PoolVersion version) {
		return Long.toHexString(RendezvousHash.hash(version.pool().value() + "\n" + version.softwareVersion()));
	}

	private void readAll(Optional<String> afterKey, Runnable onEnd, Runnable onFailure) {
		this.recordLog.readSnapshot(Topic.POOL_VERSIONS, afterKey)
			.whenComplete((page, failure) -> this.loop.execute(() -> {
				if (failure != null) {
					logFailure(failure);
					onFailure.run();
					return;
				}
				handlePage(page, onEnd, onFailure);
			}));
	}

	private void handlePage(SnapshotPage page, Runnable onEnd, Runnable onFailure) {
		page.records().forEach(this::apply);
		if (page.continueAfterKey().isPresent()) {
			readAll(page.continueAfterKey(), onEnd, onFailure);
		}
		else {
			onEnd.run();
		}
	}

	private void apply(KeyedRecord logRecord) {
		this.recordApplier.apply(logRecord, (body) -> Optional.of(PoolVersionRecord.parseFrom(body)))
			.ifPresent((message) -> {
				PoolVersion version = new PoolVersion(new PoolId(message.getPool()), message.getSoftwareVersion());
				this.stored.add(version);
				this.versions.addRecent(version, this.clock.nowMillis());
			});
	}

	private void logFailure(Throwable failure) {
		this.log.warn(LogEvent.DEPENDENCY_LOST, "dependency", "log", "topic", Topic.POOL_VERSIONS, "reason",
				failure.getMessage());
	}

}
