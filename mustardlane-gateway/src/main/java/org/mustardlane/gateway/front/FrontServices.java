package org.mustardlane.gateway.front;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.mustardlane.core.route.RequestLimits;
import org.mustardlane.gateway.knowledge.SteadyClock;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.wire.WireDialect;

/**
 * What all connections of callers share.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class FrontServices {

	private final WireDialect dialect;

	private final CallHandler handler;

	private final Supplier<RequestLimits> limits;

	private final FrontSettings settings;

	private final BooleanSupplier closing;

	private final SteadyClock clock;

	private final DecisionLog log;

	private final Set<FrontConnection> connections = new HashSet<>();

	private long bodyBytes;

	FrontServices(WireDialect dialect, CallHandler handler, Supplier<RequestLimits> limits, FrontSettings settings,
			BooleanSupplier closing, SteadyClock clock, DecisionLog log) {
		this.dialect = dialect;
		this.handler = handler;
		this.limits = limits;
		this.settings = settings;
		this.closing = closing;
		this.clock = clock;
		this.log = log;
	}

	WireDialect dialect() {
		return this.dialect;
	}

	CallHandler handler() {
		return this.handler;
	}

	RequestLimits limits() {
		return this.limits.get();
	}

	int headerBytes() {
		return this.settings.headerBytes();
	}

	boolean isClosing() {
		return this.closing.getAsBoolean();
	}

	long nowMillis() {
		return this.clock.nowMillis();
	}

	DecisionLog log() {
		return this.log;
	}

	Set<FrontConnection> connections() {
		return this.connections;
	}

	/**
	 * Takes room for a part of a body.
	 * @param bytes size of the part
	 * @return whether there is room
	 */
	boolean reserveBody(int bytes) {
		if (this.bodyBytes + bytes > this.settings.allBodiesBytes()) {
			return false;
		}
		this.bodyBytes += bytes;
		return true;
	}

	/**
	 * Gives room back.
	 * @param bytes size of a whole body
	 */
	void releaseBody(long bytes) {
		this.bodyBytes -= bytes;
	}

}
