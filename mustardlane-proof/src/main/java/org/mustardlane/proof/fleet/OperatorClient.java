package org.mustardlane.proof.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.grpc.ManagedChannel;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;

import org.mustardlane.protocol.DrainRequest;
import org.mustardlane.protocol.OperatorServiceGrpc;
import org.mustardlane.protocol.PublishAnswer;
import org.mustardlane.protocol.PublishRequest;
import org.mustardlane.protocol.StatusAnswer;
import org.mustardlane.protocol.StatusRequest;
import org.mustardlane.protocol.TimelineEntry;
import org.mustardlane.protocol.TimelineRequest;

/**
 * Asks one router what an operator may ask.
 */
public final class OperatorClient implements AutoCloseable {

	private static final int CALL_SECONDS = 30;

	private final ManagedChannel channel;

	/**
	 * Connects to a router.
	 * @param port its port for operators
	 */
	public OperatorClient(int port) {
		this.channel = NettyChannelBuilder.forAddress("127.0.0.1", port).usePlaintext().build();
	}

	/**
	 * Publishes a catalogue change.
	 * @param changeId names the change
	 * @param yaml the change
	 * @return what became of it
	 * @throws FleetException if the router does not answer
	 */
	public PublishAnswer publish(String changeId, String yaml) throws FleetException {
		try {
			return stub().publishCatalogue(PublishRequest.newBuilder()
				.setChangeId(changeId)
				.setAuthor("proof")
				.setChangeYaml(yaml)
				.setDeadlineMillis(System.currentTimeMillis() + TimeUnit.SECONDS.toMillis(CALL_SECONDS / 2))
				.build());
		}
		catch (StatusRuntimeException ex) {
			throw new FleetException("publish fails", ex);
		}
	}

	/**
	 * Reads the state of the router.
	 * @return the state
	 * @throws FleetException if the router does not answer
	 */
	public StatusAnswer status() throws FleetException {
		try {
			return stub().status(StatusRequest.getDefaultInstance());
		}
		catch (StatusRuntimeException ex) {
			throw new FleetException("status fails", ex);
		}
	}

	/**
	 * Asks the router to finish what it has and to take nothing new.
	 * @param deadlineMillis when it may give up
	 * @throws FleetException if the router does not answer
	 */
	public void drain(long deadlineMillis) throws FleetException {
		try {
			stub().drain(DrainRequest.newBuilder().setDeadlineMillis(deadlineMillis).build());
		}
		catch (StatusRuntimeException ex) {
			throw new FleetException("drain fails", ex);
		}
	}

	/**
	 * Reads the events of the router.
	 * @return the events
	 * @throws FleetException if the router does not answer
	 */
	public List<TimelineEntry> timeline() throws FleetException {
		try {
			List<TimelineEntry> entries = new ArrayList<>();
			stub().timeline(TimelineRequest.getDefaultInstance()).forEachRemaining(entries::add);
			return entries;
		}
		catch (StatusRuntimeException ex) {
			throw new FleetException("timeline fails", ex);
		}
	}

	@Override
	public void close() {
		this.channel.shutdownNow();
	}

	private OperatorServiceGrpc.OperatorServiceBlockingStub stub() {
		return OperatorServiceGrpc.newBlockingStub(this.channel).withDeadlineAfter(CALL_SECONDS, TimeUnit.SECONDS);
	}

}
