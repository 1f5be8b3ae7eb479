package org.mustardlane.gateway.exchange;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.core.route.RequestSemantics;
import org.mustardlane.core.stream.PoolVersion;
import org.mustardlane.gateway.relay.RelayHeaders;
import org.mustardlane.gateway.wire.ResponseHead;

/**
 * Records what later calls, and further attempts of this one, have to know about the
 * response to one call.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class ResponseRecords {

	private final ExchangeContext context;

	private final RoutedCall routedCall;

	private final CallTargets callTargets;

	ResponseRecords(ExchangeContext context, RoutedCall routedCall, CallTargets callTargets) {
		this.context = context;
		this.routedCall = routedCall;
		this.callTargets = callTargets;
	}

	/**
	 * Records that a target has started to respond.
	 * @param head head of the response, which gets what another router has to know
	 * @param target the target
	 */
	void recordStart(ResponseHead head, TargetEntry target) {
		if (head.isSuccess()) {
			this.routedCall.prefix()
				.ifPresent((prefix) -> this.context.prefixHolders()
					.recordResponse(prefix, target, this.context.nowMillis()));
		}
		if (this.routedCall.relayed()) {
			RelayHeaders.writeTarget(head.headers(), target);
		}
	}

	/**
	 * Records that the first event of a stream was forwarded.
	 * @param origin pool and software version of the target that sent the event
	 */
	void recordFirstEvent(PoolVersion origin) {
		this.callTargets.requireVersion(origin);
		boolean isBeginning = this.routedCall.call().head().resumption().isEmpty();
		if (isBeginning && this.routedCall.route().semantics() == RequestSemantics.RESUMABLE_STREAM) {
			this.context.streamVersions().recordFirstEvent(this.routedCall.requestId(), origin);
		}
	}

}
