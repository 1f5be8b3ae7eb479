package org.mustardlane.router.peer;

import java.util.Optional;

import io.grpc.stub.StreamObserver;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.mustardlane.core.event.PeerMessageReceived;
import org.mustardlane.core.model.common.VmId;
import org.mustardlane.protocol.PeerFrame;
import org.mustardlane.router.worker.EventSink;

/**
 * Receives the frames of one stream from another router and submits their messages as
 * events.
 *
 * <p>
 * A malformed frame is dropped and logged, and the stream continues.
 */
final class FrameReceiver implements StreamObserver<PeerFrame> {

	private static final Logger logger = LogManager.getLogger(FrameReceiver.class);

	private final FrameStamper stamper;

	private final EventSink events;

	private final Runnable onEnd;

	private final Runnable onFailure;

	private volatile Optional<VmId> sender;

	/**
	 * Creates the receiver.
	 * @param stamper observes the hybrid time of incoming frames
	 * @param events receives the messages
	 * @param sender the VM of the other router, empty until its first frame arrives
	 * @param onEnd run when the other router ends the stream
	 * @param onFailure run when the stream fails
	 */
	FrameReceiver(FrameStamper stamper, EventSink events, Optional<VmId> sender, Runnable onEnd, Runnable onFailure) {
		this.stamper = stamper;
		this.events = events;
		this.sender = sender;
		this.onEnd = onEnd;
		this.onFailure = onFailure;
	}

	@Override
	public void onNext(PeerFrame frame) {
		if (this.sender.isEmpty() && !frame.getSenderVm().isEmpty()) {
			this.sender = Optional.of(new VmId(frame.getSenderVm()));
		}
		if (this.sender.isEmpty()) {
			logger.warn("Dropped a frame without a sender VM");
			return;
		}
		try {
			PeerMessageReceived event = new PeerMessageReceived(this.sender.get(), PeerMessageDecoder.decode(frame));
			this.stamper.observe(frame.getHybridTime());
			this.events.submit(event);
		}
		catch (MalformedFrameException ex) {
			logger.warn("Dropped a malformed frame from {}: {}", this.sender.get(), ex.getMessage());
		}
	}

	@Override
	public void onError(Throwable failure) {
		logger.debug("The stream from {} failed: {}", this.sender, failure.getMessage());
		this.onFailure.run();
	}

	@Override
	public void onCompleted() {
		this.onEnd.run();
	}

}
