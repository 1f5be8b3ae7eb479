package org.mustardlane.proof.capacity;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mustardlane.core.chat.ShardRanking;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.catalogue.Target;
import org.mustardlane.core.model.catalogue.TargetKind;
import org.mustardlane.core.model.common.DomainId;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.PoolId;
import org.mustardlane.core.model.common.TargetId;

/**
 * Prints how messages, processor time and memory grow with the fleet; docs/CAPACITY.md
 * uses the figures.
 */
public final class CapacityMain {

	private static final int[] ROUTER_COUNTS = { 3, 6, 12, 15, 60, 360 };

	private static final int[] TARGET_COUNTS = { 10, 100, 600, 6100 };

	private static final int[] ORGANISATION_COUNTS = { 10, 100, 1400 };

	private static final int POOL_COUNT = 5;

	private static final int LARGE_FLEET_DOMAINS = 10;

	private static final int SMALL_FLEET_DOMAINS = 3;

	private static final int LARGE_FLEET_ROUTERS = 60;

	private static final long WARM_UP_MILLIS = 10_000;

	private static final long MEASURED_MILLIS = 20_000;

	private static final int ROUTED_CHATS = 20_000;

	private static final int SNAPSHOT_COPIES = 20;

	private CapacityMain() {
	}

	/**
	 * Runs the measurements and prints them as CSV.
	 * @param arguments ignored
	 */
	public static void main(String[] arguments) {
		PrintStream out = System.out;
		out.println("idle node: routers, failure domains, messages/s, bytes/s, processor us/s");
		for (int routers : ROUTER_COUNTS) {
			int domains = (routers >= LARGE_FLEET_ROUTERS) ? LARGE_FLEET_DOMAINS : SMALL_FLEET_DOMAINS;
			IdleFleet fleet = new IdleFleet(routers, domains);
			fleet.advance(WARM_UP_MILLIS);
			IdleFleet.NodeCost cost = fleet.advance(MEASURED_MILLIS);
			out.printf("%d, %d, %.1f, %.0f, %.0f%n", routers, domains, cost.messages(), cost.bytes(), cost.micros());
		}
		out.println("catalogue: targets, organisations, heap KB of one snapshot, us to route a chat");
		for (int targets : TARGET_COUNTS) {
			measureCatalogue(out, targets, ORGANISATION_COUNTS[0]);
		}
		for (int organisations : ORGANISATION_COUNTS) {
			measureCatalogue(out, TARGET_COUNTS[0], organisations);
		}
	}

	private static void measureCatalogue(PrintStream out, int targets, int organisations) {
		List<CatalogueSnapshot> snapshots = new ArrayList<>();
		long heapBeforeBytes = usedHeapBytes();
		for (int index = 0; index < SNAPSHOT_COPIES; index++) {
			snapshots.add(createSnapshot(targets, organisations));
		}
		long heapBytes = (usedHeapBytes() - heapBeforeBytes) / SNAPSHOT_COPIES;
		CatalogueSnapshot snapshot = snapshots.get(0);
		measureRouteMicros(snapshot);
		out.printf("%d, %d, %.0f, %.1f%n", targets, organisations, heapBytes / 1024.0, measureRouteMicros(snapshot));
	}

	private static double measureRouteMicros(CatalogueSnapshot snapshot) {
		PoolId pool = new PoolId("pool-0");
		ShardRanking ranking = new ShardRanking(snapshot);
		long startedNanos = System.nanoTime();
		for (long chat = 0; chat < ROUTED_CHATS; chat++) {
			ranking.rankShards(pool, chat * 31);
		}
		return (System.nanoTime() - startedNanos) / 1000.0 / ROUTED_CHATS;
	}

	private static CatalogueSnapshot createSnapshot(int targets, int organisations) {
		Map<TargetId, Target> targetsById = new HashMap<>();
		for (int number = 0; number < targets; number++) {
			TargetId id = new TargetId("engine-" + number);
			targetsById.put(id, new Target(id, new PoolId("pool-" + number % POOL_COUNT), TargetKind.ENGINE,
					new DomainId("domain-" + number % LARGE_FLEET_DOMAINS), "10.0.0." + number, 1, 16, true));
		}
		Map<OrganisationId, Organisation> organisationsById = new HashMap<>();
		for (int number = 0; number < organisations; number++) {
			OrganisationId id = new OrganisationId("organisation-" + number);
			organisationsById.put(id, new Organisation(id, "0".repeat(60) + number, 100, 1));
		}
		return new CatalogueSnapshot(1, Map.of(), organisationsById, targetsById);
	}

	private static long usedHeapBytes() {
		System.gc();
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
