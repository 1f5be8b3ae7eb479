package org.mustardlane.cli;

import java.util.List;

import org.mustardlane.protocol.PeerStatus;
import org.mustardlane.protocol.ShardStatus;
import org.mustardlane.protocol.StatusAnswer;

/**
 * Shows what routers know of themselves and of the fleet.
 */
final class StatusCommand implements Command {

	@Override
	public Step prepare(CliArguments arguments, CliSettings settings) {
		arguments.requireOperands(0, 0, "");
		arguments.requireRouter(settings);
		return () -> {
			try (RouterPool pool = new RouterPool(settings)) {
				List<StatusReport.Router> routers = pool.all((client) -> client.status(settings.timeoutMillis()))
					.stream()
					.map(StatusCommand::router)
					.toList();
				return new StatusReport(routers, pool.warnings());
			}
		};
	}

	private static StatusReport.Router router(StatusAnswer answer) {
		return new StatusReport.Router(answer.getVm(), answer.getDomain(), answer.getVersion(),
				answer.getCatalogueRevision(), answer.getDraining(), answer.getPlatformReachable(),
				answer.getPlatformSilenceMillis(), answer.getRequestsInFlight(), answer.getStartedAtMillis(),
				answer.getPeersList().stream().map(StatusCommand::peer).toList(),
				answer.getShardsList().stream().map(StatusCommand::shard).toList());
	}

	private static StatusReport.Peer peer(PeerStatus peer) {
		return new StatusReport.Peer(peer.getVm(), peer.getDomain(), peer.getAddress(), peer.getAlive(),
				peer.getDraining(), peer.getCatalogueRevision());
	}

	private static StatusReport.Shard shard(ShardStatus shard) {
		return new StatusReport.Shard(shard.getPool(), shard.getDomain(), shard.getIndex(), shard.getOwnerVm(),
				shard.getGranted(), shard.getQueued(), shard.getOpenTargets());
	}

}
