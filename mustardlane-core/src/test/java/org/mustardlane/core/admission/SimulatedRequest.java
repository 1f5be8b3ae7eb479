package org.mustardlane.core.admission;

import org.mustardlane.core.message.GrantAnswer;
import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.VmId;

/**
 * A request of a caller in a simulated fleet, and what became of it.
 */
final class SimulatedRequest {

	private static final String RETRY = "-again";

	final String id;

	final ServiceClass serviceClass;

	final String organisation;

	final long chat;

	final double workMillis;

	final long arrivedAtMillis;

	final long deadlineMillis;

	VmId router = AdmissionFixture.SELF;

	GrantAnswer grant;

	int redirects;

	int asks;

	boolean refused;

	long retryAfterMillis;

	boolean warm;

	double prefillMillis;

	double remainingMillis;

	long startedAtMillis;

	long firstTokenAtMillis;

	long endedAtMillis;

	long worstGapMillis;

	SimulatedRequest(String id, ServiceClass serviceClass, String organisation, long chat, double workMillis,
			long arrivedAtMillis, long patienceMillis) {
		this.id = id;
		this.serviceClass = serviceClass;
		this.organisation = organisation;
		this.chat = chat;
		this.workMillis = workMillis;
		this.arrivedAtMillis = arrivedAtMillis;
		this.deadlineMillis = arrivedAtMillis + patienceMillis;
	}

	SimulatedRequest retryAt(long millis) {
		return new SimulatedRequest(this.id + RETRY, this.serviceClass, this.organisation, this.chat, this.workMillis,
				millis, this.deadlineMillis - this.arrivedAtMillis);
	}

	boolean isRetry() {
		return this.id.endsWith(RETRY);
	}

	long firstTokenMillis() {
		return this.firstTokenAtMillis - this.arrivedAtMillis;
	}

	long totalMillis() {
		return this.endedAtMillis - this.arrivedAtMillis;
	}

	boolean inTime() {
		return this.endedAtMillis > 0 && this.endedAtMillis <= this.deadlineMillis;
	}

}
