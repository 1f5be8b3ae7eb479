package org.mustardlane.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

import org.mustardlane.core.chat.ShardRanking;
import org.mustardlane.core.event.CatalogueChanged;
import org.mustardlane.core.event.NodeAction;
import org.mustardlane.core.event.OwnershipChanged;
import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.event.SendPeer;
import org.mustardlane.core.event.Tick;
import org.mustardlane.core.message.GrantRelease;
import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.message.GrantRequest;
import org.mustardlane.core.message.PeerMessage;
import org.mustardlane.core.message.ReleaseCause;
import org.mustardlane.core.model.catalogue.CatalogueSnapshot;
import org.mustardlane.core.model.catalogue.Organisation;
import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.EntryName;
import org.mustardlane.core.model.common.OrganisationId;
import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.core.model.common.ShardId;
import org.mustardlane.core.model.target.AttemptTiming;

/**
 * Measures the cost of a grant request and its release at a router that owns all shards
 * of a pool.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class AdmissionBenchmark {

	private static final int ORGANISATION_COUNT = 1400;

	private static final int DOMAIN_COUNT = 10;

	private static final int SLOTS_PER_TARGET = 8;

	private static final int MAX_HELD_GRANTS = 2000;

	private static final AttemptTiming TIMING = new AttemptTiming(20, 10, 100);

	/**
	 * The admission policy.
	 */
	@Param
	public AdmissionPolicy policy;

	/**
	 * Number of targets in the pool.
	 */
	@Param({ "60", "600" })
	public int targets;

	/**
	 * Number of distinct chats that send requests.
	 */
	@Param({ "1000", "1000000" })
	public int chats;

	private AdmissionHandler handler;

	private ShardId[] homeShards;

	private OrganisationId[] organisations;

	private final long nowMillis = 1_002_000;

	private long requestCount;

	/**
	 * Creates the handler and issues grants for up to half of the slots.
	 */
	@Setup
	public void issueGrants() {
		CatalogueSnapshot targetCatalogue = AdmissionFixture.catalogue(this.targets, DOMAIN_COUNT, SLOTS_PER_TARGET);
		this.organisations = new OrganisationId[ORGANISATION_COUNT];
		Map<OrganisationId, Organisation> organisationsById = new HashMap<>();
		for (int i = 0; i < ORGANISATION_COUNT; i++) {
			this.organisations[i] = new OrganisationId("org-" + i);
			organisationsById.put(this.organisations[i], new Organisation(this.organisations[i], "", 2000, 1 + i % 3));
		}
		CatalogueSnapshot catalogue = new CatalogueSnapshot(1, Map.of(), organisationsById, targetCatalogue.targets());
		this.handler = new AdmissionHandler(AdmissionFixture.SELF, 1, AdmissionSettings.defaults(this.policy, 1));
		this.handler.handle(new CatalogueChanged(catalogue), 1_000_000);
		this.handler.handle(
				new OwnershipChanged(AdmissionFixture.ownership(AdmissionFixture.SELF, AdmissionFixture.SELF)),
				1_000_000);
		this.handler.handle(new Tick(), this.nowMillis);
		ShardRanking route = new ShardRanking(catalogue);
		this.homeShards = new ShardId[1024];
		for (int i = 0; i < this.homeShards.length; i++) {
			this.homeShards[i] = route.rankShards(AdmissionFixture.POOL, chatHash(i)).get(0);
		}
		for (int i = 0; i < Math.min(MAX_HELD_GRANTS, this.targets * SLOTS_PER_TARGET / 2); i++) {
			requestGrant();
		}
	}

	private static long chatHash(long chat) {
		return (chat + 1) * 0x9E3779B97F4A7C15L;
	}

	private List<NodeAction> requestGrant() {
		this.requestCount++;
		int chat = (int) (this.requestCount * 7919 % this.chats);
		GrantRequest request = new GrantRequest(new RequestId("r" + this.requestCount), 1,
				this.homeShards[chat % this.homeShards.length], new EntryName("entry"),
				this.organisations[(int) (this.requestCount % ORGANISATION_COUNT)], ServiceClass.INTERACTIVE,
				chatHash(chat), this.nowMillis + 10_000, 100, Set.of(), true);
		return receive(request);
	}

	private List<NodeAction> receive(PeerMessage message) {
		return this.handler.handle(new PeerMessageReceived(AdmissionFixture.SELF, message), this.nowMillis);
	}

	/**
	 * Requests a grant and releases it.
	 * @return the actions of the handler
	 */
	@Benchmark
	public List<NodeAction> requestAndRelease() {
		List<NodeAction> actions = requestGrant();
		for (NodeAction action : actions) {
			if (action instanceof SendPeer send && send.message() instanceof GrantReply reply
					&& reply.target().isPresent()) {
				receive(new GrantRelease(reply.requestId(), 1, reply.shard(), reply.grantId(), reply.target().get(),
						ReleaseCause.COMPLETED, TIMING));
			}
		}
		return actions;
	}

	/**
	 * Runs the benchmark and measures its allocations.
	 * @param arguments ignored
	 * @throws RunnerException if the benchmark fails
	 */
	public static void main(String[] arguments) throws RunnerException {
		new Runner(new OptionsBuilder().include(AdmissionBenchmark.class.getSimpleName())
			.addProfiler(GCProfiler.class)
			.build()).run();
	}

}
