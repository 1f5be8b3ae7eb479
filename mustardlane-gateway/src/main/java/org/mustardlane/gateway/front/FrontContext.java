package org.mustardlane.gateway.front;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.mustardlane.core.route.RequestLimits;
import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.wire.WireDialect;

/**
 * Dependencies and state shared by all connections of callers.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
final class FrontContext {

	private final WireDialect dialect;

	private final CallHandler handler;

	private final Supplier<RequestLimits> limits;

	private final FrontSettings settings;

	private final BooleanSupplier closing;

	private final MonotonicClock clock;

	private final DecisionLog log;

	private final Set<FrontConnection> connections = new HashSet<>();

	private long bufferedBodyBytes;

	FrontContext(WireDialect dialect, CallHandler handler, Supplier<RequestLimits> limits, FrontSettings settings,
			BooleanSupplier closing, MonotonicClock clock, DecisionLog log) {
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

	int maxHeaderBytes() {
		return this.settings.maxHeaderBytes();
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
	 * Reserves memory for a part of a body.
	 * @param bytes size of the part
	 * @return false if the limit for buffered bodies would be exceeded
	 */
	boolean reserveBodyBytes(int bytes) {
		if (this.bufferedBodyBytes + bytes > this.settings.maxBufferedBodyBytes()) {
			return false;
		}
		this.bufferedBodyBytes += bytes;
		return true;
	}

	/**
	 * Releases the memory of a body.
	 * @param bytes size of the body
	 */
	void releaseBodyBytes(long bytes) {
		this.bufferedBodyBytes -= bytes;
	}

}
