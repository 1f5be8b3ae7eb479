package org.mustardlane.cli;

import java.util.List;

import org.mustardlane.protocol.PeerStatus;
import org.mustardlane.protocol.ShardStatus;
import org.mustardlane.protocol.StatusAnswer;

/**
 * Shows the status of routers and their view of the fleet.
 */
final class StatusCommand implements Command {

	@Override
	public PreparedCommand prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(0, 0, "");
		arguments.requireRouter(settings);
		return () -> {
			try (RouterPool pool = new RouterPool(settings)) {
				List<StatusReport.Router> routers = pool.callAll((client) -> client.status(settings.timeoutMillis()))
					.stream()
					.map(StatusCommand::toRouter)
					.toList();
				return new StatusReport(routers, pool.warnings());
			}
		};
	}

	private static StatusReport.Router toRouter(StatusAnswer reply) {
		return new StatusReport.Router(reply.getVm(), reply.getDomain(), reply.getVersion(),
				reply.getCatalogueRevision(), reply.getDraining(), reply.getPlatformReachable(),
				reply.getPlatformSilenceMillis(), reply.getRequestsInFlight(), reply.getStartedAtMillis(),
				reply.getPeersList().stream().map(StatusCommand::toPeer).toList(),
				reply.getShardsList().stream().map(StatusCommand::toShard).toList());
	}

	private static StatusReport.Peer toPeer(PeerStatus peer) {
		return new StatusReport.Peer(peer.getVm(), peer.getDomain(), peer.getAddress(), peer.getAlive(),
				peer.getDraining(), peer.getCatalogueRevision());
	}

	private static StatusReport.Shard toShard(ShardStatus shard) {
		return new StatusReport.Shard(shard.getPool(), shard.getDomain(), shard.getIndex(), shard.getOwnerVm(),
				shard.getGranted(), shard.getQueued(), shard.getOpenTargets());
	}

}
