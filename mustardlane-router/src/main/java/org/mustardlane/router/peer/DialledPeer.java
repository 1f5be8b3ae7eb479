package org.mustardlane.router.peer;

import io.grpc.ManagedChannel;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.grpc.stub.StreamObserver;

import org.mustardlane.protocol.PeerFrame;
import org.mustardlane.protocol.PeerServiceGrpc;

/**
 * A connection that this router has opened to another router.
 *
 * @param address address of the other router
 * @param channel the gRPC channel
 * @param link outgoing half of the frame stream
 */
record DialledPeer(PeerAddress address, ManagedChannel channel, PeerLink link) {

	/**
	 * Opens the frame stream.
	 * @param receiver receives the frames that the other router sends
	 */
	void open(StreamObserver<PeerFrame> receiver) {
		PeerServiceGrpc.newStub(this.channel).link(new LinkObserver(this.link, receiver));
	}

	/**
	 * Closes the stream and the channel.
	 */
	void close() {
		this.link.close();
		this.channel.shutdownNow();
	}

	/**
	 * Passes incoming frames to the receiver and closes the outgoing half when the stream
	 * ends.
	 *
	 * @param link outgoing half of the stream
	 * @param receiver incoming half of the stream
	 */
	private record LinkObserver(PeerLink link,
			StreamObserver<PeerFrame> receiver) implements ClientResponseObserver<PeerFrame, PeerFrame> {

		@Override
		public void beforeStart(ClientCallStreamObserver<PeerFrame> outgoing) {
			outgoing.setOnReadyHandler(() -> this.link.transportReady(outgoing));
		}

		@Override
		public void onNext(PeerFrame frame) {
			this.receiver.onNext(frame);
		}

		@Override
		public void onError(Throwable failure) {
			this.link.close();
			this.receiver.onError(failure);
		}

		@Override
		public void onCompleted() {
			this.link.close();
			this.receiver.onCompleted();
		}

	}

}
