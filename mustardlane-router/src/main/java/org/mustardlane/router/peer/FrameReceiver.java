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
 * The incoming half of one stream from another router.
 *
 * <p>
 * A frame that is not as agreed is dropped and logged; the stream goes on.
 */
final class FrameReceiver implements StreamObserver<PeerFrame> {

	private static final Logger logger = LogManager.getLogger(FrameReceiver.class);

	private final FrameStamp stamp;

	private final EventSink events;

	private final Runnable onEnd;

	private final Runnable onFailure;

	private volatile Optional<VmId> sender;

	/**
	 * Creates the receiver.
	 * @param stamp learns from incoming frames
	 * @param events takes what arrives
	 * @param sender the other router, empty until its first frame names it
	 * @param onEnd run where the other router ends the stream
	 * @param onFailure run where the stream breaks
	 */
	FrameReceiver(FrameStamp stamp, EventSink events, Optional<VmId> sender, Runnable onEnd, Runnable onFailure) {
		this.stamp = stamp;
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
			logger.warn("Dropped a frame without a sender");
			return;
		}
		try {
			PeerMessageReceived event = new PeerMessageReceived(this.sender.get(), PeerMessageDecoder.decode(frame));
			this.stamp.observe(frame.getHybridTime());
			this.events.submit(event);
		}
		catch (MalformedFrameException ex) {
			logger.warn("Dropped a frame of {}: {}", this.sender.get(), ex.getMessage());
		}
	}

	@Override
	public void onError(Throwable failure) {
		logger.debug("The stream of {} ended: {}", this.sender, failure.getMessage());
		this.onFailure.run();
	}

	@Override
	public void onCompleted() {
		this.onEnd.run();
	}

}
