package org.mustardlane.core.admission;

import org.mustardlane.core.message.GrantReply;
import org.mustardlane.core.model.catalogue.ServiceClass;
import org.mustardlane.core.model.common.VmId;

/**
 * Holds a simulated request and its outcome.
 */
final class SimulatedRequest {

	private static final String RETRY_SUFFIX = "-again";

	final String id;

	final ServiceClass serviceClass;

	final String organisation;

	final long chat;

	final double serviceMillis;

	final long arrivedAtMillis;

	final long deadlineMillis;

	VmId router = AdmissionFixture.SELF;

	GrantReply grant;

	int redirects;

	int attempts;

	boolean refused;

	long retryAfterMillis;

	boolean cacheHit;

	double prefillMillis;

	double remainingMillis;

	long startedAtMillis;

	long firstTokenAtMillis;

	long endedAtMillis;

	long maxTokenGapMillis;

	SimulatedRequest(String id, ServiceClass serviceClass, String organisation, long chat, double serviceMillis,
			long arrivedAtMillis, long timeoutMillis) {
		this.id = id;
		this.serviceClass = serviceClass;
		this.organisation = organisation;
		this.chat = chat;
		this.serviceMillis = serviceMillis;
		this.arrivedAtMillis = arrivedAtMillis;
		this.deadlineMillis = arrivedAtMillis + timeoutMillis;
	}

	SimulatedRequest retryAt(long arrivalMillis) {
		return new SimulatedRequest(this.id + RETRY_SUFFIX, this.serviceClass, this.organisation, this.chat,
				this.serviceMillis, arrivalMillis, this.deadlineMillis - this.arrivedAtMillis);
	}

	boolean isRetry() {
		return this.id.endsWith(RETRY_SUFFIX);
	}

	long firstTokenMillis() {
		return this.firstTokenAtMillis - this.arrivedAtMillis;
	}

	long totalMillis() {
		return this.endedAtMillis - this.arrivedAtMillis;
	}

	boolean isInTime() {
		return this.endedAtMillis > 0 && this.endedAtMillis <= this.deadlineMillis;
	}

}
