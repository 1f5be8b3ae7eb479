package org.mustardlane.standin.target;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.mustardlane.standin.http.Exchange;
import org.mustardlane.standin.http.ExchangeHandler;
import org.mustardlane.standin.http.Json;

/**
 * Common part of the fake engines and services: slots, faults, journal, load report and
 * orders. All methods run on the event loop of the target.
 */
abstract class TargetBase implements ExchangeHandler {

	static final int OK = 200;

	static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int UNAVAILABLE = 503;

	private static final int MAX_JOURNAL_ENTRIES = 500_000;

	private static final int FROZEN_POLL_INTERVAL_MILLIS = 5;

	private final EventLoop eventLoop;

	private final TargetSettings settings;

	private final UniformRandomProvider random;

	private final LoadHistory loadHistory;

	private final AcceptedOrders acceptedOrders;

	private final List<JournalEntry> journal = new ArrayList<>();

	private final SlotQueue slots;

	private TargetFaults faults = TargetFaults.NONE;

	TargetBase(EventLoop eventLoop, TargetSettings settings) {
		this.eventLoop = eventLoop;
		this.settings = settings;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
		this.loadHistory = new LoadHistory(settings.loadLagMillis());
		this.acceptedOrders = new AcceptedOrders(settings.checksFencing());
		this.slots = new SlotQueue(settings.slots(), this::recordLoad);
	}

	@Override
	public final void handle(Exchange exchange) throws IOException {
		switch (exchange.path()) {
			case "/faults" -> handleFaults(exchange);
			case "/journal" -> sendJournal(exchange);
			case "/state" -> exchange.sendJson(OK, new LoadHistory.LoadReport(System.currentTimeMillis(),
					this.slots.runningCount(), this.slots.queuedCount(), this.faults.leaving()));
			case "/load" -> runUnlessFrozen(() -> sendLoad(exchange));
			case "/orders" -> handleOrder(exchange);
			default -> runUnlessFrozen(() -> handleTargetRequest(exchange));
		}
	}

	/**
	 * Handles a request whose path is specific to the kind of target.
	 * @param exchange the request
	 */
	abstract void handleTargetRequest(Exchange exchange);

	/**
	 * Called after the faults have been replaced over HTTP.
	 */
	void onFaultsChanged() {
	}

	final TargetSettings settings() {
		return this.settings;
	}

	final UniformRandomProvider random() {
		return this.random;
	}

	final SlotQueue slots() {
		return this.slots;
	}

	final EventLoop eventLoop() {
		return this.eventLoop;
	}

	final TargetFaults faults() {
		return this.faults;
	}

	/**
	 * Returns the faults that affect a request which arrives now, and counts that
	 * request.
	 * @return the faults of the request
	 */
	final TargetFaults consumeFaults() {
		TargetFaults current = this.faults;
		this.faults = current.afterRequest();
		return current;
	}

	/**
	 * Resets the connection of a request or rejects it before it starts, if its faults
	 * require that.
	 * @param exchange the request
	 * @param requestFaults the faults of the request
	 * @return whether the request was rejected or its connection reset
	 */
	final boolean rejectIfFaulty(Exchange exchange, TargetFaults requestFaults) {
		if (requestFaults.resetConnections()) {
			exchange.reset();
			return true;
		}
		if (requestFaults.refuse()) {
			exchange.send(UNAVAILABLE, Map.of(TargetHeaders.NOT_STARTED, "true", TargetHeaders.REQUEST_ID,
					echoedRequestId(exchange, requestFaults)), new byte[0]);
			return true;
		}
		return false;
	}

	final String echoedRequestId(Exchange exchange, TargetFaults requestFaults) {
		String requestId = exchange.header(TargetHeaders.REQUEST_ID).orElse("");
		return requestFaults.wrongEcho() ? requestId + "-other" : requestId;
	}

	final JournalEntry addJournalEntry(Exchange exchange, byte[] callerBody, int continueOffset, int cachedBytes) {
		JournalEntry entry = new JournalEntry(this.journal.size() + 1, exchange, callerBody, continueOffset,
				cachedBytes);
		if (this.journal.size() < MAX_JOURNAL_ENTRIES) {
			this.journal.add(entry);
		}
		return entry;
	}

	/**
	 * Runs an action after a delay. The slow factor multiplies the delay; while the
	 * target is frozen, the action waits.
	 * @param delayMillis the delay in milliseconds
	 * @param action the action
	 */
	final void runAfter(double delayMillis, Runnable action) {
		long delayMicros = (long) (delayMillis * this.faults.slowFactor() * TimeUnit.MILLISECONDS.toMicros(1));
		this.eventLoop.schedule(() -> runUnlessFrozen(action), delayMicros, TimeUnit.MICROSECONDS);
	}

	final void recordLoad() {
		this.loadHistory.record(this.slots.runningCount(), this.slots.queuedCount(), this.faults.leaving());
	}

	private void runUnlessFrozen(Runnable action) {
		if (this.faults.frozen()) {
			this.eventLoop.schedule(() -> runUnlessFrozen(action), FROZEN_POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		action.run();
	}

	private void handleFaults(Exchange exchange) throws IOException {
		if (exchange.method().equals("PUT")) {
			this.faults = Json.readWithDefaults(TargetFaults.NONE, exchange.body(), TargetFaults.class);
			recordLoad();
			onFaultsChanged();
		}
		exchange.sendJson(OK, this.faults);
	}

	private void sendJournal(Exchange exchange) {
		int afterNumber = (int) exchange.queryNumber("after", 0);
		List<JournalRow> rows = this.journal.stream().skip(afterNumber).map(JournalEntry::toRow).toList();
		exchange.sendJson(OK, Map.of("entries", rows, "orders", this.acceptedOrders.orders()));
	}

	private void sendLoad(Exchange exchange) {
		if (!this.faults.silentLoad()) {
			exchange.sendJson(OK, this.loadHistory.laggedReport(System.currentTimeMillis()));
		}
	}

	private void handleOrder(Exchange exchange) throws IOException {
		AcceptedOrders.Order order = Json.read(exchange.body(), AcceptedOrders.Order.class);
		runUnlessFrozen(() -> {
			boolean accepted = this.acceptedOrders.tryAccept(order);
			if (consumeFaults().loseAnswer()) {
				exchange.close();
				return;
			}
			exchange.sendJson(accepted ? OK : CONFLICT, Map.of("taken", accepted));
		});
	}

}
