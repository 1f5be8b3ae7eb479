package org.mustardlane.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;

import org.mustardlane.core.route.ShutdownWindow;
import org.mustardlane.gateway.exchange.CallRouter;
import org.mustardlane.gateway.front.FrontServer;
import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;

/**
 * Ends the daemon once its calls are complete, or once the drain time has passed.
 *
 * <p>
 * Started on the event loop of the daemon; its state may be read from any thread.
 */
final class GracefulShutdown {

	/**
	 * The load balancer checks readiness once a second and opens no new connections after
	 * two failed checks.
	 */
	private static final int BALANCER_REMOVAL_MILLIS = 2500;

	/**
	 * Connections opened before the load balancer saw the failed checks have sent their
	 * call by then.
	 */
	private static final int MIN_DRAIN_MILLIS = 3000;

	private static final int CHECK_INTERVAL_MILLIS = 50;

	private final EventLoop loop;

	private final MonotonicClock clock;

	private final DecisionLog log;

	private final LongSupplier drainMillis;

	private final CountDownLatch ended = new CountDownLatch(1);

	private volatile OptionalLong startedAtMillis = OptionalLong.empty();

	/**
	 * Creates a shutdown that has not started.
	 * @param loop event loop of the daemon
	 * @param clock monotonic clock
	 * @param log log of decisions
	 * @param drainMillis supplies how long the shutdown may take
	 */
	GracefulShutdown(EventLoop loop, MonotonicClock clock, DecisionLog log, LongSupplier drainMillis) {
		this.loop = loop;
		this.clock = clock;
		this.log = log;
		this.drainMillis = drainMillis;
	}

	/**
	 * Starts the shutdown. Calls that arrive are still served until it ends.
	 * @param callRouter counts the calls in progress
	 * @param frontServer server of the callers
	 */
	void start(CallRouter callRouter, FrontServer frontServer) {
		if (isStarted()) {
			return;
		}
		this.startedAtMillis = OptionalLong.of(this.clock.nowMillis());
		this.log.write(LogEvent.DRAINING, "openCalls", callRouter.openCalls());
		check(callRouter, frontServer);
	}

	private void check(CallRouter callRouter, FrontServer frontServer) {
		long elapsedMillis = this.clock.nowMillis() - this.startedAtMillis.orElseThrow();
		if (elapsedMillis >= BALANCER_REMOVAL_MILLIS) {
			// A caller that keeps its connection would send its next call to a router
			// that is shutting down.
			frontServer.closeIdleConnections();
		}
		boolean idle = callRouter.openCalls() == 0 && frontServer.countBusyConnections() == 0;
		if ((idle && elapsedMillis >= MIN_DRAIN_MILLIS) || elapsedMillis >= this.drainMillis.getAsLong()) {
			this.log.write(LogEvent.STOPPED, "openCalls", callRouter.openCalls(), "drainMillis", elapsedMillis);
			frontServer.stopListening();
			this.ended.countDown();
			return;
		}
		this.loop.schedule(() -> check(callRouter, frontServer), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	boolean isStarted() {
		return this.startedAtMillis.isPresent();
	}

	/**
	 * Returns the time of the shutdown.
	 * @return the time on the monotonic clock, empty before the start
	 */
	Optional<ShutdownWindow> window() {
		OptionalLong started = this.startedAtMillis;
		return started.isPresent()
				? Optional
					.of(new ShutdownWindow(started.getAsLong(), started.getAsLong() + this.drainMillis.getAsLong()))
				: Optional.empty();
	}

	/**
	 * Waits for the end of the shutdown.
	 * @param timeoutMillis maximum wait in milliseconds
	 * @return true if the shutdown has ended, false after the timeout
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean awaitEnd(long timeoutMillis) throws InterruptedException {
		return this.ended.await(timeoutMillis, TimeUnit.MILLISECONDS);
	}

}
