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
 * Takes the streams of other routers.
 */
public final class PeerService extends PeerServiceGrpc.PeerServiceImplBase {

	private final FrameStamp stamp;

	private final EventSink events;

	private final LocalJoins joins;

	/**
	 * Creates the service.
	 * @param stamp learns from incoming frames
	 * @param events takes what arrives
	 * @param joins finds the answers of this router
	 */
	public PeerService(FrameStamp stamp, EventSink events, LocalJoins joins) {
		this.stamp = stamp;
		this.events = events;
		this.joins = joins;
	}

	@Override
	public StreamObserver<PeerFrame> link(StreamObserver<PeerFrame> outgoing) {
		return new FrameReceiver(this.stamp, this.events, Optional.empty(), outgoing::onCompleted,
				PeerService::nothing);
	}

	private static void nothing() {
	}

	@Override
	public void joinAnswer(JoinAnswerRequest request, StreamObserver<AnswerChunk> outgoing) {
		if (request.getRequestId().isEmpty()) {
			outgoing.onError(Status.INVALID_ARGUMENT.withDescription("no request").asRuntimeException());
			return;
		}
		ChunkSender sender = new ChunkSender((ServerCallStreamObserver<AnswerChunk>) outgoing);
		if (!this.joins.join(new RequestId(request.getRequestId()), sender)) {
			outgoing.onError(Status.NOT_FOUND.withDescription("the request is not known").asRuntimeException());
		}
	}

}
