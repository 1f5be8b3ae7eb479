package org.mustardlane.router.peer;

import java.util.Optional;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;

import org.mustardlane.core.model.common.RequestId;
import org.mustardlane.protocol.AnswerChunk;
import org.mustardlane.protocol.JoinAnswerRequest;
import org.mustardlane.protocol.PeerFrame;
import org.mustardlane.protocol.PeerServiceGrpc;
import org.mustardlane.router.worker.EventSink;

/**
 * gRPC service for other routers.
 */
public final class PeerService extends PeerServiceGrpc.PeerServiceImplBase {

	private final FrameStamper stamper;

	private final EventSink events;

	private final LocalResponses responses;

	/**
	 * Creates the service.
	 * @param stamper observes the hybrid time of incoming frames
	 * @param events receives incoming messages
	 * @param responses gives access to the responses of this router
	 */
	public PeerService(FrameStamper stamper, EventSink events, LocalResponses responses) {
		this.stamper = stamper;
		this.events = events;
		this.responses = responses;
	}

	@Override
	public StreamObserver<PeerFrame> link(StreamObserver<PeerFrame> outgoing) {
		return new FrameReceiver(this.stamper, this.events, Optional.empty(), outgoing::onCompleted,
				PeerService::doNothing);
	}

	private static void doNothing() {
	}

	@Override
	public void joinAnswer(JoinAnswerRequest request, StreamObserver<AnswerChunk> outgoing) {
		if (request.getRequestId().isEmpty()) {
			outgoing.onError(Status.INVALID_ARGUMENT.withDescription("no request").asRuntimeException());
			return;
		}
		ChunkSender sender = new ChunkSender((ServerCallStreamObserver<AnswerChunk>) outgoing);
		if (!this.responses.joinResponse(new RequestId(request.getRequestId()), sender)) {
			outgoing.onError(Status.NOT_FOUND.withDescription("the request is not known").asRuntimeException());
		}
	}

}
