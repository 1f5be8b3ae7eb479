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
 * gRPC client for the operator service of one router.
 */
public final class OperatorClient implements AutoCloseable {

	private static final int CALL_TIMEOUT_SECONDS = 30;

	private final ManagedChannel channel;

	/**
	 * Creates a client for a router.
	 * @param port the operator port of the router
	 */
	public OperatorClient(int port) {
		this.channel = NettyChannelBuilder.forAddress("127.0.0.1", port).usePlaintext().build();
	}

	/**
	 * Publishes a catalogue change.
	 * @param changeId the id of the change
	 * @param yaml the change as YAML
	 * @return the reply of the router
	 * @throws FleetException if the call fails
	 */
	public PublishAnswer publish(String changeId, String yaml) throws FleetException {
		try {
			return stub().publishCatalogue(PublishRequest.newBuilder()
				.setChangeId(changeId)
				.setAuthor("proof")
				.setChangeYaml(yaml)
				.setDeadlineMillis(System.currentTimeMillis() + TimeUnit.SECONDS.toMillis(CALL_TIMEOUT_SECONDS / 2))
				.build());
		}
		catch (StatusRuntimeException ex) {
			throw new FleetException("publishing the catalogue change failed", ex);
		}
	}

	/**
	 * Reads the status of the router.
	 * @return the status
	 * @throws FleetException if the call fails
	 */
	public StatusAnswer status() throws FleetException {
		try {
			return stub().status(StatusRequest.getDefaultInstance());
		}
		catch (StatusRuntimeException ex) {
			throw new FleetException("reading the status failed", ex);
		}
	}

	/**
	 * Tells the router to finish its open requests and to accept no new ones.
	 * @param deadlineMillis the time in epoch milliseconds at which the router stops
	 * waiting
	 * @throws FleetException if the call fails
	 */
	public void drain(long deadlineMillis) throws FleetException {
		try {
			stub().drain(DrainRequest.newBuilder().setDeadlineMillis(deadlineMillis).build());
		}
		catch (StatusRuntimeException ex) {
			throw new FleetException("starting the drain failed", ex);
		}
	}

	/**
	 * Reads the timeline of the router.
	 * @return the timeline entries
	 * @throws FleetException if the call fails
	 */
	public List<TimelineEntry> timeline() throws FleetException {
		try {
			List<TimelineEntry> entries = new ArrayList<>();
			stub().timeline(TimelineRequest.getDefaultInstance()).forEachRemaining(entries::add);
			return entries;
		}
		catch (StatusRuntimeException ex) {
			throw new FleetException("reading the timeline failed", ex);
		}
	}

	@Override
	public void close() {
		this.channel.shutdownNow();
	}

	private OperatorServiceGrpc.OperatorServiceBlockingStub stub() {
		return OperatorServiceGrpc.newBlockingStub(this.channel)
			.withDeadlineAfter(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

}
