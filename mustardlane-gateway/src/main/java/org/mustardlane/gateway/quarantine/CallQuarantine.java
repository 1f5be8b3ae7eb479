package org.mustardlane.gateway.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import org.mustardlane.core.quarantine.CallFeature;
import org.mustardlane.core.quarantine.CrashEvidence;
import org.mustardlane.core.quarantine.LostCall;
import org.mustardlane.core.quarantine.Quarantine;
import org.mustardlane.core.quarantine.QuarantineTable;
import org.mustardlane.core.quarantine.StartedResponse;
import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.report.DecisionLog;
import org.mustardlane.gateway.report.LogEvent;

/**
 * The evidence and the quarantines that this router knows.
 *
 * <p>
 * Confined to the event loop of the daemon.
 */
public final class CallQuarantine {

	/**
	 * Time for operators to remove the cause. Afterwards such calls must crash targets
	 * again to be refused again.
	 */
	private static final int QUARANTINE_MILLIS = 600_000;

	private final MonotonicClock clock;

	private final LongSupplier unixMillis;

	private final DecisionLog log;

	private final CrashEvidence evidence = new CrashEvidence();

	private final QuarantineTable table = new QuarantineTable();

	private final List<QuarantineListener> listeners = new ArrayList<>();

	/**
	 * Creates an instance that knows nothing.
	 * @param clock monotonic clock
	 * @param unixMillis supplies the wall clock time in milliseconds
	 * @param log log of decisions
	 */
	public CallQuarantine(MonotonicClock clock, LongSupplier unixMillis, DecisionLog log) {
		this.clock = clock;
		this.unixMillis = unixMillis;
		this.log = log;
	}

	/**
	 * Adds a listener.
	 * @param listener the listener
	 */
	public void addListener(QuarantineListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Records a lost call.
	 * @param call the call
	 */
	public void recordLoss(LostCall call) {
		if (this.evidence.addLostCall(call, this.clock.nowMillis())) {
			notifyNews();
		}
	}

	/**
	 * Records a response that started at this router.
	 * @param response the response
	 */
	public void recordStart(StartedResponse response) {
		notifyIfContradicted(response, this.evidence.recordStart(response));
	}

	/**
	 * Records a response that started at another router.
	 * @param response the response
	 */
	public void recordRelayedStart(StartedResponse response) {
		notifyIfContradicted(response, this.evidence.recordRelayedStart(response));
	}

	private void notifyIfContradicted(StartedResponse response, boolean contradicts) {
		if (contradicts) {
			this.log.write(LogEvent.CRASH_EVIDENCE_CONTRADICTED, "target", response.target(), "parts",
					join(response.features()));
			notifyNews();
		}
	}

	/**
	 * Adds a quarantine that another router has decided on.
	 * @param quarantine the quarantine
	 * @param source source of the quarantine, for the log
	 */
	public void add(Quarantine quarantine, String source) {
		if (this.table.add(quarantine, this.unixMillis.getAsLong())) {
			logAdded(quarantine, source);
			notifyNews();
		}
	}

	/**
	 * Decides on quarantines for the crashes so far. To be called several times a second.
	 */
	public void evaluate() {
		long nowUnixMillis = this.unixMillis.getAsLong();
		Optional<Set<CallFeature>> cause = this.evidence.findCause(this.table.active(nowUnixMillis),
				this.clock.nowMillis());
		if (cause.isEmpty()) {
			return;
		}
		Quarantine quarantine = new Quarantine(cause.get(), nowUnixMillis + QUARANTINE_MILLIS);
		this.table.add(quarantine, nowUnixMillis);
		logAdded(quarantine, "crashes");
		this.listeners.forEach((listener) -> listener.onDecision(quarantine));
		notifyNews();
	}

	private void logAdded(Quarantine quarantine, String source) {
		this.log.warn(LogEvent.QUARANTINE_ADDED, "parts", join(quarantine.features()), "endUnixMillis",
				quarantine.endUnixMillis(), "source", source);
	}

	private static String join(Iterable<CallFeature> features) {
		List<String> names = new ArrayList<>();
		features.forEach((feature) -> names.add(feature.value()));
		return names.stream().sorted().collect(Collectors.joining(" "));
	}

	private void notifyNews() {
		this.listeners.forEach(QuarantineListener::onNews);
	}

	/**
	 * Finds the quarantine that applies to a call.
	 * @param features the features of the call
	 * @return the quarantine, or empty if the call may be sent
	 */
	public Optional<QuarantineMatch> find(List<CallFeature> features) {
		long nowUnixMillis = this.unixMillis.getAsLong();
		return this.table.find(features, nowUnixMillis)
			.map((quarantine) -> new QuarantineMatch(quarantine.features().stream().anyMatch(CallFeature::isContent),
					quarantine.endUnixMillis() - nowUnixMillis));
	}

	/**
	 * Returns the lost calls that this router has learnt of recently.
	 * @param sinceMillis time after which this router learnt of them
	 * @return the newest calls up to a maximum number
	 */
	public List<LostCall> lostCallsLearntAfter(long sinceMillis) {
		return this.evidence.lostCallsLearntAfter(sinceMillis);
	}

	/**
	 * Returns the responses of the recent past that contradict evidence.
	 * @param sinceMillis time after which the responses started
	 * @return the responses
	 */
	public List<StartedResponse> contradictionsSince(long sinceMillis) {
		return this.evidence.contradictionsSince(sinceMillis);
	}

	/**
	 * Returns the quarantines in force.
	 * @return an immutable copy
	 */
	public List<Quarantine> active() {
		return this.table.active(this.unixMillis.getAsLong());
	}

}
