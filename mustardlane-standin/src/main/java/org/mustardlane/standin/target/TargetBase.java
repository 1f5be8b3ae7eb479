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
 * What engines and plain services have in common: slots, faults, journal, load report and
 * orders.
 */
abstract class TargetBase implements ExchangeHandler {

	static final int OK = 200;

	static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int UNAVAILABLE = 503;

	private static final int KEPT_JOURNAL_ROWS = 500_000;

	private static final int FREEZE_POLL_MILLIS = 5;

	private final EventLoop loop;

	private final TargetSettings settings;

	private final UniformRandomProvider random;

	private final LoadHistory loads;

	private final OrderBook orders;

	private final List<JournalEntry> journal = new ArrayList<>();

	private final SlotQueue slots;

	private TargetFaults faults = TargetFaults.NONE;

	TargetBase(EventLoop loop, TargetSettings settings) {
		this.loop = loop;
		this.settings = settings;
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed());
		this.loads = new LoadHistory(settings.loadLagMillis());
		this.orders = new OrderBook(settings.checksFencing());
		this.slots = new SlotQueue(settings.slots(), this::recordLoad);
	}

	@Override
	public final void handle(Exchange exchange) throws IOException {
		switch (exchange.path()) {
			case "/faults" -> handleFaults(exchange);
			case "/journal" -> sendJournal(exchange);
			case "/state" -> exchange.sendJson(OK, new LoadHistory.LoadReport(System.currentTimeMillis(),
					this.slots.running(), this.slots.waiting(), this.faults.leaving()));
			case "/load" -> whenThawed(() -> sendLoad(exchange));
			case "/orders" -> handleOrder(exchange);
			default -> whenThawed(() -> handlePublic(exchange));
		}
	}

	/**
	 * Handles a request that is not common to all targets.
	 * @param exchange the request
	 */
	abstract void handlePublic(Exchange exchange);

	/**
	 * Reacts to faults that were set.
	 */
	void faultsChanged() {
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

	final EventLoop loop() {
		return this.loop;
	}

	final TargetFaults faults() {
		return this.faults;
	}

	/**
	 * Returns the faults that a request meets that arrives now.
	 * @return the faults
	 */
	final TargetFaults takeFaults() {
		TargetFaults taken = this.faults;
		this.faults = taken.afterOneRequest();
		return taken;
	}

	/**
	 * Turns a request away before it starts, where the faults say so.
	 * @param exchange the request
	 * @param met the faults that it meets
	 * @return whether it was turned away
	 */
	final boolean isTurnedAway(Exchange exchange, TargetFaults met) {
		if (met.resetConnections()) {
			exchange.reset();
			return true;
		}
		if (met.refuse()) {
			exchange.send(UNAVAILABLE,
					Map.of(TargetHeaders.NOT_STARTED, "true", TargetHeaders.REQUEST_ID, echo(exchange, met)),
					new byte[0]);
			return true;
		}
		return false;
	}

	final String echo(Exchange exchange, TargetFaults met) {
		String id = exchange.header(TargetHeaders.REQUEST_ID).orElse("");
		return met.wrongEcho() ? id + "-other" : id;
	}

	final JournalEntry journal(Exchange exchange, byte[] callerBody, int continueOffset, int cachedBytes) {
		JournalEntry entry = new JournalEntry(this.journal.size() + 1, exchange, callerBody, continueOffset,
				cachedBytes);
		if (this.journal.size() < KEPT_JOURNAL_ROWS) {
			this.journal.add(entry);
		}
		return entry;
	}

	/**
	 * Runs an action after a time that grows with the slow factor, and not while frozen.
	 * @param millis the time
	 * @param action the action
	 */
	final void later(double millis, Runnable action) {
		long micros = (long) (millis * this.faults.slowFactor() * TimeUnit.MILLISECONDS.toMicros(1));
		this.loop.schedule(() -> whenThawed(action), micros, TimeUnit.MICROSECONDS);
	}

	final void recordLoad() {
		this.loads.record(this.slots.running(), this.slots.waiting(), this.faults.leaving());
	}

	private void whenThawed(Runnable action) {
		if (this.faults.frozen()) {
			this.loop.schedule(() -> whenThawed(action), FREEZE_POLL_MILLIS, TimeUnit.MILLISECONDS);
			return;
		}
		action.run();
	}

	private void handleFaults(Exchange exchange) throws IOException {
		if (exchange.method().equals("PUT")) {
			this.faults = Json.readWithDefaults(TargetFaults.NONE, exchange.body(), TargetFaults.class);
			recordLoad();
			faultsChanged();
		}
		exchange.sendJson(OK, this.faults);
	}

	private void sendJournal(Exchange exchange) {
		int after = (int) exchange.queryNumber("after", 0);
		List<JournalRow> rows = this.journal.stream().skip(after).map(JournalEntry::row).toList();
		exchange.sendJson(OK, Map.of("entries", rows, "orders", this.orders.orders()));
	}

	private void sendLoad(Exchange exchange) {
		if (!this.faults.silentLoad()) {
			exchange.sendJson(OK, this.loads.visible(System.currentTimeMillis()));
		}
	}

	private void handleOrder(Exchange exchange) throws IOException {
		OrderBook.Order order = Json.read(exchange.body(), OrderBook.Order.class);
		whenThawed(() -> {
			boolean taken = this.orders.take(order);
			if (takeFaults().loseAnswer()) {
				exchange.close();
				return;
			}
			exchange.sendJson(taken ? OK : CONFLICT, Map.of("taken", taken));
		});
	}

}
