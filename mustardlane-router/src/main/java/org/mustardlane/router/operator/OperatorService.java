package org.mustardlane.router.operator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongConsumer;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;

import org.mustardlane.core.event.PublishRequested;
import org.mustardlane.core.model.catalogue.CatalogueChange;
import org.mustardlane.core.model.catalogue.PublishResult;
import org.mustardlane.core.node.Node;
import org.mustardlane.core.timeline.TimelineBuffer;
import org.mustardlane.protocol.DrainAnswer;
import org.mustardlane.protocol.DrainRequest;
import org.mustardlane.protocol.OperatorServiceGrpc;
import org.mustardlane.protocol.PublishAnswer;
import org.mustardlane.protocol.PublishRequest;
import org.mustardlane.protocol.ShowCatalogueAnswer;
import org.mustardlane.protocol.ShowCatalogueRequest;
import org.mustardlane.protocol.StatusAnswer;
import org.mustardlane.protocol.StatusRequest;
import org.mustardlane.protocol.TimelineEntry;
import org.mustardlane.protocol.TimelineRequest;
import org.mustardlane.router.worker.RouterClock;

/**
 * gRPC service for the command-line tool of operators.
 */
public final class OperatorService extends OperatorServiceGrpc.OperatorServiceImplBase {

	private static final long MAX_PUBLISH_MILLIS = 60_000;

	private static final long RESULT_MARGIN_MILLIS = 1000;

	private final Node node;

	private final RouterClock clock;

	private final TimelineBuffer timeline;

	private final PendingPublishes publishes;

	private final LongConsumer startDrain;

	private final String version;

	/**
	 * Creates the service.
	 * @param node the node
	 * @param clock clock of the process
	 * @param timeline timeline events of this process
	 * @param publishes submits catalogue changes to the node
	 * @param startDrain starts a drain with the given deadline in epoch milliseconds, 0
	 * to apply the drain time of the settings
	 * @param version version of the router
	 */
	public OperatorService(Node node, RouterClock clock, TimelineBuffer timeline, PendingPublishes publishes,
			LongConsumer startDrain, String version) {
		this.node = node;
		this.clock = clock;
		this.timeline = timeline;
		this.publishes = publishes;
		this.startDrain = startDrain;
		this.version = version;
	}

	@Override
	public void status(StatusRequest request, StreamObserver<StatusAnswer> observer) {
		observer.onNext(OperatorReplies.statusReply(this.node.status(), this.clock.nowMillis(), this.version));
		observer.onCompleted();
	}

	@Override
	public void drain(DrainRequest request, StreamObserver<DrainAnswer> observer) {
		int requestsInFlight = this.node.status().requestsInFlight();
		this.startDrain.accept(request.getDeadlineMillis());
		observer.onNext(DrainAnswer.newBuilder().setRequestsInFlight(requestsInFlight).build());
		observer.onCompleted();
	}

	@Override
	public void timeline(TimelineRequest request, StreamObserver<TimelineEntry> observer) {
		String subject = request.getRequestId();
		this.timeline.eventsAfter(request.getAfterHybridTime())
			.stream()
			.filter((event) -> subject.isEmpty() || event.subject().equals(subject))
			.forEach((event) -> observer.onNext(OperatorReplies.timelineEntry(event)));
		observer.onCompleted();
	}

	@Override
	public void publishCatalogue(PublishRequest request, StreamObserver<PublishAnswer> observer) {
		if (request.getChangeId().isEmpty()) {
			observer.onError(Status.INVALID_ARGUMENT.withDescription("change_id is required").asRuntimeException());
			return;
		}
		long nowMillis = this.clock.nowMillis();
		long maxDeadlineMillis = nowMillis + MAX_PUBLISH_MILLIS;
		long deadlineMillis = (request.getDeadlineMillis() > 0)
				? Math.min(request.getDeadlineMillis(), maxDeadlineMillis) : maxDeadlineMillis;
		CatalogueChange change = new CatalogueChange(request.getChangeId(), request.getAuthor(),
				request.getChangeYaml());
		CompletableFuture<PublishResult> result = this.publishes.publish(new PublishRequested(change, deadlineMillis));
		result.copy()
			.orTimeout(Math.max(1, deadlineMillis - nowMillis) + RESULT_MARGIN_MILLIS, TimeUnit.MILLISECONDS)
			.handle((publishResult, failure) -> (failure != null) ? unknownOutcome(failure)
					: OperatorReplies.publishReply(publishResult))
			.thenAccept((reply) -> {
				observer.onNext(reply);
				observer.onCompleted();
			});
	}

	private static PublishAnswer unknownOutcome(Throwable failure) {
		String message = (failure instanceof TimeoutException) ? "the change was not settled in time"
				: String.valueOf(failure.getMessage());
		return PublishAnswer.newBuilder().setVerdict(PublishAnswer.Verdict.UNKNOWN).setMessage(message).build();
	}

	@Override
	public void showCatalogue(ShowCatalogueRequest request, StreamObserver<ShowCatalogueAnswer> observer) {
		long revision = (request.getAtRevision() > 0) ? request.getAtRevision() : this.node.catalogue().revision();
		ShowCatalogueAnswer.Builder reply = ShowCatalogueAnswer.newBuilder().setRevision(revision);
		if (request.getHistory()) {
			this.node.catalogueHistory().forEach((row) -> reply.addHistory(OperatorReplies.historyRow(row)));
		}
		Optional<String> yaml = this.node.catalogueYaml(request.getAtRevision());
		if (yaml.isEmpty()) {
			observer.onError(
					Status.NOT_FOUND.withDescription("revision " + revision + " is not kept").asRuntimeException());
			return;
		}
		observer.onNext(reply.setYaml(yaml.get()).build());
		observer.onCompleted();
	}

}
