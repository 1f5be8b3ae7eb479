package org.mustardlane.cli;

import java.util.List;

/**
 * The status of routers and their view of the fleet.
 *
 * @param routers status of each router that replied
 * @param warnings error messages of the calls that failed
 */
record StatusReport(List<Router> routers, List<String> warnings) implements Report {

	@Override
	public String text() {
		StringBuilder text = new StringBuilder();
		this.routers.forEach((router) -> text.append(router.text()).append('\n'));
		this.warnings.forEach((warning) -> text.append(warning).append('\n'));
		return text.toString();
	}

	@Override
	public ExitCode exitCode() {
		return this.warnings.isEmpty() ? ExitCode.OK : ExitCode.PARTIAL;
	}

	/**
	 * The status of a router that replied.
	 *
	 * @param vm VM of the router
	 * @param domain failure domain of the router
	 * @param version version of the router software
	 * @param catalogueRevision catalogue revision in force on the router
	 * @param draining whether the router is draining
	 * @param platformReachable whether the router can reach the platform
	 * @param platformSilenceMillis time since the last response of the platform to the
	 * router
	 * @param requestsInFlight number of requests without a final result
	 * @param startedAtMillis start time of the router
	 * @param peers the other routers that the router knows
	 * @param shards the shards of pools that the router knows
	 */
	record Router(String vm, String domain, String version, long catalogueRevision, boolean draining,
			boolean platformReachable, long platformSilenceMillis, int requestsInFlight, long startedAtMillis,
			List<Peer> peers, List<Shard> shards) {

		private String text() {
			String platformStatus = this.platformReachable ? "reachable"
					: "not reachable for %d ms".formatted(this.platformSilenceMillis);
			String summary = "router %s in %s, version %s: catalogue revision %d, platform %s, %d requests in flight%s%n"
				.formatted(this.vm, this.domain, this.version, this.catalogueRevision, platformStatus,
						this.requestsInFlight, this.draining ? ", draining" : "");
			return summary + peerTable() + shardTable();
		}

		private String peerTable() {
			if (this.peers.isEmpty()) {
				return "";
			}
			TextTable table = new TextTable("PEER", "DOMAIN", "ADDRESS", "STATE", "REVISION");
			this.peers.forEach((peer) -> table.addRow(peer.vm(), peer.domain(), peer.address(), peer.state(),
					peer.catalogueRevision()));
			return table.toString();
		}

		private String shardTable() {
			if (this.shards.isEmpty()) {
				return "";
			}
			TextTable table = new TextTable("SHARD", "OWNER", "GRANTED", "QUEUED", "OPEN TARGETS");
			this.shards
				.forEach((shard) -> table.addRow("%s/%s/%d".formatted(shard.pool(), shard.domain(), shard.index()),
						shard.ownerVm(), shard.granted(), shard.queued(), shard.openTargets()));
			return table.toString();
		}

	}

	/**
	 * A peer of the router.
	 *
	 * @param vm VM of the router
	 * @param domain failure domain of the router
	 * @param address peer address of the router
	 * @param alive whether the router is considered reachable
	 * @param draining whether the router is draining
	 * @param catalogueRevision catalogue revision in force on the router, as last
	 * reported by gossip
	 */
	record Peer(String vm, String domain, String address, boolean alive, boolean draining, long catalogueRevision) {

		private String state() {
			if (!this.alive) {
				return "unreachable";
			}
			return this.draining ? "draining" : "alive";
		}

	}

	/**
	 * A shard of a pool.
	 *
	 * @param pool the pool
	 * @param domain failure domain of the targets in the shard
	 * @param index number of the shard within pool and failure domain
	 * @param ownerVm VM of the router that owns the shard
	 * @param granted number of requests that hold a grant
	 * @param queued number of requests in the queue
	 * @param openTargets number of targets that accept new requests
	 */
	record Shard(String pool, String domain, int index, String ownerVm, int granted, int queued, int openTargets) {

	}

}
