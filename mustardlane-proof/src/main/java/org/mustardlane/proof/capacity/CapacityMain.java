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

	private static final int[] ROUTERS = { 3, 6, 12, 15, 60, 360 };

	private static final int[] TARGETS = { 10, 100, 600, 6100 };

	private static final int[] ORGANISATIONS = { 10, 100, 1400 };

	private static final int POOLS = 5;

	private static final int MANY_DOMAINS = 10;

	private static final int FEW_DOMAINS = 3;

	private static final int LARGE_FLEET = 60;

	private static final long WARM_MILLIS = 10_000;

	private static final long MEASURED_MILLIS = 20_000;

	private static final int ROUTE_ROUNDS = 20_000;

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
		for (int routers : ROUTERS) {
			int domains = (routers >= LARGE_FLEET) ? MANY_DOMAINS : FEW_DOMAINS;
			IdleFleet fleet = new IdleFleet(routers, domains);
			fleet.run(WARM_MILLIS);
			IdleFleet.Cost cost = fleet.run(MEASURED_MILLIS);
			out.printf("%d, %d, %.1f, %.0f, %.0f%n", routers, domains, cost.messages(), cost.bytes(), cost.micros());
		}
		out.println("catalogue: targets, organisations, heap KB of one snapshot, us to route a chat");
		for (int targets : TARGETS) {
			measureCatalogue(out, targets, ORGANISATIONS[0]);
		}
		for (int organisations : ORGANISATIONS) {
			measureCatalogue(out, TARGETS[0], organisations);
		}
	}

	private static void measureCatalogue(PrintStream out, int targets, int organisations) {
		List<CatalogueSnapshot> copies = new ArrayList<>();
		long beforeBytes = usedHeapBytes();
		for (int copy = 0; copy < SNAPSHOT_COPIES; copy++) {
			copies.add(snapshot(targets, organisations));
		}
		long heapBytes = (usedHeapBytes() - beforeBytes) / SNAPSHOT_COPIES;
		CatalogueSnapshot snapshot = copies.get(0);
		routeMicros(snapshot);
		out.printf("%d, %d, %.0f, %.1f%n", targets, organisations, heapBytes / 1024.0, routeMicros(snapshot));
	}

	private static double routeMicros(CatalogueSnapshot snapshot) {
		PoolId pool = new PoolId("pool-0");
		ShardRanking ranking = new ShardRanking(snapshot);
		long startedNanos = System.nanoTime();
		for (long chat = 0; chat < ROUTE_ROUNDS; chat++) {
			ranking.rankShards(pool, chat * 31);
		}
		return (System.nanoTime() - startedNanos) / 1000.0 / ROUTE_ROUNDS;
	}

	private static CatalogueSnapshot snapshot(int targets, int organisations) {
		Map<TargetId, Target> byId = new HashMap<>();
		for (int number = 0; number < targets; number++) {
			TargetId id = new TargetId("engine-" + number);
			byId.put(id, new Target(id, new PoolId("pool-" + number % POOLS), TargetKind.ENGINE,
					new DomainId("domain-" + number % MANY_DOMAINS), "10.0.0." + number, 1, 16, true));
		}
		Map<OrganisationId, Organisation> organisationsById = new HashMap<>();
		for (int number = 0; number < organisations; number++) {
			OrganisationId id = new OrganisationId("organisation-" + number);
			organisationsById.put(id, new Organisation(id, "0".repeat(60) + number, 100, 1));
		}
		return new CatalogueSnapshot(1, Map.of(), organisationsById, byId);
	}

	private static long usedHeapBytes() {
		System.gc();
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
