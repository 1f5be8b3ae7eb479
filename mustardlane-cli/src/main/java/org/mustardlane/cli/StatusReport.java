package org.mustardlane.cli;

import java.util.List;

/**
 * What routers know of themselves and of the fleet.
 *
 * @param routers the routers that answered
 * @param warnings the calls that failed
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
	 * A router that answered.
	 *
	 * @param vm its VM
	 * @param domain its failure domain
	 * @param version version of its program
	 * @param catalogueRevision the revision in force on it
	 * @param draining whether it is stopping
	 * @param platformReachable whether it can reach the platform
	 * @param platformSilenceMillis time since the platform last answered it
	 * @param requestsInFlight requests that have no final word yet
	 * @param startedAtMillis when it started
	 * @param peers the other routers that it knows
	 * @param shards the shards that it knows
	 */
	record Router(String vm, String domain, String version, long catalogueRevision, boolean draining,
			boolean platformReachable, long platformSilenceMillis, int requestsInFlight, long startedAtMillis,
			List<Peer> peers, List<Shard> shards) {

		private String text() {
			String platform = this.platformReachable ? "reachable"
					: "not reachable for %d ms".formatted(this.platformSilenceMillis);
			String head = "router %s in %s, version %s: catalogue revision %d, platform %s, %d requests in flight%s%n"
				.formatted(this.vm, this.domain, this.version, this.catalogueRevision, platform, this.requestsInFlight,
						this.draining ? ", draining" : "");
			return head + peerTable() + shardTable();
		}

		private String peerTable() {
			if (this.peers.isEmpty()) {
				return "";
			}
			TextTable table = new TextTable("PEER", "DOMAIN", "ADDRESS", "STATE", "REVISION");
			this.peers.forEach((peer) -> table.row(peer.vm(), peer.domain(), peer.address(), peer.state(),
					peer.catalogueRevision()));
			return table.toString();
		}

		private String shardTable() {
			if (this.shards.isEmpty()) {
				return "";
			}
			TextTable table = new TextTable("SHARD", "OWNER", "GRANTED", "QUEUED", "OPEN TARGETS");
			this.shards.forEach((shard) -> table.row("%s/%s/%d".formatted(shard.pool(), shard.domain(), shard.index()),
					shard.ownerVm(), shard.granted(), shard.queued(), shard.openTargets()));
			return table.toString();
		}

	}

	/**
	 * Another router.
	 *
	 * @param vm its VM
	 * @param domain its failure domain
	 * @param address its address for other routers
	 * @param alive whether it lives
	 * @param draining whether it is stopping
	 * @param catalogueRevision the revision in force on it, when last heard of
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
	 * A part of a pool.
	 *
	 * @param pool the pool
	 * @param domain the failure domain
	 * @param index its number
	 * @param ownerVm the router that owns it
	 * @param granted requests that hold a grant
	 * @param queued requests that wait
	 * @param openTargets targets that take new work
	 */
	record Shard(String pool, String domain, int index, String ownerVm, int granted, int queued, int openTargets) {

	}

}
