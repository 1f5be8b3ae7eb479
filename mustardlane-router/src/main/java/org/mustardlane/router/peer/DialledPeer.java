package org.mustardlane.router.peer;

import io.grpc.ManagedChannel;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.grpc.stub.StreamObserver;

import org.mustardlane.protocol.PeerFrame;
import org.mustardlane.protocol.PeerServiceGrpc;

/**
 * A connection that this router has opened to another one.
 *
 * @param address where it leads
 * @param channel the connection
 * @param link the outgoing half of its stream
 */
record DialledPeer(PeerAddress address, ManagedChannel channel, PeerLink link) {

	/**
	 * Opens the stream.
	 * @param receiver takes what the other router sends on it
	 */
	void open(StreamObserver<PeerFrame> receiver) {
		PeerServiceGrpc.newStub(this.channel).link(new LinkObserver(this.link, receiver));
	}

	/**
	 * Ends the connection.
	 */
	void close() {
		this.link.close();
		this.channel.shutdownNow();
	}

	/**
	 * Joins the incoming half of the stream with the outgoing one.
	 *
	 * @param link the outgoing half
	 * @param receiver the incoming half
	 */
	private record LinkObserver(PeerLink link,
			StreamObserver<PeerFrame> receiver) implements ClientResponseObserver<PeerFrame, PeerFrame> {

		@Override
		public void beforeStart(ClientCallStreamObserver<PeerFrame> outgoing) {
			outgoing.setOnReadyHandler(() -> this.link.open(outgoing));
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
