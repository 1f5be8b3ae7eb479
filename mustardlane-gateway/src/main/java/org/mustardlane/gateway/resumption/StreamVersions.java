package org.mustardlane.gateway.resumption;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import io.netty.channel.EventLoop;

import org.mustardlane.core.directory.TargetDirectory;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.stream.PoolVersion;
import org.mustardlane.core.stream.PoolVersions;
import org.mustardlane.core.stream.StreamOrigins;
import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.knowledge.RecordLog;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.wire.Resumption;

/**
 * Tells at which software version a stream may go on.
 *
 * <p>
 * What is not known here is read from the platform's log. A stream whose version cannot
 * be found out goes on nowhere, unless only one version has served for longer than
 * callers wait. Confined to the event loop of the daemon.
 */
public final class StreamVersions {

	/**
	 * Time for a record to reach the log and to be read, in addition to the delay before
	 * it is sent.
	 */
	private static final int SEARCH_MILLIS = 400;

	private static final int SEARCH_INTERVAL_MILLIS = 100;

	private final TargetDirectory targets;

	private final Consumer<Runnable> targetsReader;

	private final EventLoop loop;

	private final MonotonicClock clock;

	private final StreamOrigins origins = new StreamOrigins();

	private final PoolVersions versions = new PoolVersions();

	private final OriginPublisher publisher;

	private final OriginReader reader;

	private final VersionRecords versionRecords;

	/**
	 * Creates an instance that knows no streams.
	 * @param targets the known targets
	 * @param targetsReader reads the targets from the log, and calls back once they are
	 * up to date
	 * @param recordLog client of the log
	 * @param loop event loop of the daemon
	 * @param clock monotonic clock
	 * @param log log of decisions
	 * @param routerCount supplies the number of routers that share the log
	 */
	public StreamVersions(TargetDirectory targets, Consumer<Runnable> targetsReader, RecordLog recordLog,
			EventLoop loop, MonotonicClock clock, DecisionLog log, IntSupplier routerCount) {
		this.targets = targets;
		this.targetsReader = targetsReader;
		this.loop = loop;
		this.clock = clock;
		this.publisher = new OriginPublisher(this.versions, recordLog, loop, clock, log, routerCount);
		this.reader = new OriginReader(this.origins, recordLog, loop, clock, log);
		this.versionRecords = new VersionRecords(this.versions, recordLog, loop, clock, log);
	}

	/**
	 * Starts to read the versions that have served before.
	 */
	public void start() {
		this.versionRecords.load();
	}

	/**
	 * Notices versions that have come or gone. To be called several times a second.
	 */
	public void observe() {
		observeTargets();
		this.versions.removeExpired(this.clock.nowMillis()).forEach(this.versionRecords::removeLater);
		this.versionRecords.storeNew();
		this.publisher.publishMixedPools();
	}

	private void observeTargets() {
		this.versions.observe(this.targets.softwareVersions(), this.clock.nowMillis());
	}

	/**
	 * Reads the versions in the log again, because this router may have missed some.
	 */
	public void reload() {
		this.versionRecords.reload();
	}

	/**
	 * Stores the versions once more, because the log was restored from an older copy.
	 */
	public void onLogRestored() {
		this.versionRecords.onRestored();
	}

	/**
	 * Records that the first event of a stream is forwarded.
	 * @param requestId id of the caller's request
	 * @param origin pool and version of the target that sent the event
	 */
	public void recordFirstEvent(String requestId, PoolVersion origin) {
		this.origins.record(requestId, origin, this.clock.nowMillis());
		this.publisher.add(requestId, origin);
	}

	/**
	 * Finds the version at which a stream may go on.
	 * @param resumption the stream
	 * @param pools pools that the route of the call leads to
	 * @param onResult receives the version, or empty if it cannot be found out; may be
	 * called before this method returns
	 */
	public void find(Resumption resumption, List<PoolId> pools, Consumer<Optional<PoolVersion>> onResult) {
		long deadlineMillis = this.clock.nowMillis() + this.publisher.delayMillis() + SEARCH_MILLIS;
		Search search = new Search(resumption, pools, deadlineMillis, onResult);
		if (!endIfKnown(search)) {
			this.targetsReader.accept(() -> handleTargetsRead(search));
			continueSearch(search);
		}
	}

	private void handleTargetsRead(Search search) {
		observeTargets();
		search.targetsAreCurrent = true;
		endIfKnown(search);
	}

	private boolean endIfKnown(Search search) {
		if (search.ended) {
			return true;
		}
		Optional<PoolVersion> known = findKnown(search);
		if (known.isEmpty() && this.clock.nowMillis() < search.deadlineMillis) {
			return false;
		}
		search.ended = true;
		search.onResult.accept(known);
		return true;
	}

	private void continueSearch(Search search) {
		if (endIfKnown(search)) {
			return;
		}
		if (findOnlyVersion(search.pools).isPresent()) {
			// The targets decide, once they were read.
			searchLater(search);
			return;
		}
		this.reader.readNew(() -> {
			if (!endIfKnown(search)) {
				searchLater(search);
			}
		});
	}

	private void searchLater(Search search) {
		this.loop.schedule(() -> continueSearch(search), SEARCH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private Optional<PoolVersion> findKnown(Search search) {
		Optional<PoolVersion> origin = search.resumption.requestId().flatMap(this.origins::find);
		if (origin.isPresent() || !search.targetsAreCurrent) {
			return origin;
		}
		return findOnlyVersion(search.pools);
	}

	private Optional<PoolVersion> findOnlyVersion(List<PoolId> pools) {
		boolean isCertain = this.versionRecords.isLoaded() && pools.size() == 1;
		return isCertain ? this.versions.onlyVersion(pools.get(0)) : Optional.empty();
	}

	private static final class Search {

		private final Resumption resumption;

		private final List<PoolId> pools;

		private final long deadlineMillis;

		private final Consumer<Optional<PoolVersion>> onResult;

		/**
		 * Whether the targets were read after the caller has taken the stream up. Another
		 * version may have joined before, and begun the stream.
		 */
		private boolean targetsAreCurrent;

		private boolean ended;

		Search(Resumption resumption, List<PoolId> pools, long deadlineMillis,
				Consumer<Optional<PoolVersion>> onResult) {
			this.resumption = resumption;
			this.pools = pools;
			this.deadlineMillis = deadlineMillis;
			this.onResult = onResult;
		}

	}

}
