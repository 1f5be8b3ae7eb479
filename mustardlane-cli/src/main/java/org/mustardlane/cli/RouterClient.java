package org.mustardlane.cli;

import java.io.File;
import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import javax.net.ssl.SSLHandshakeException;

import io.grpc.ChannelCredentials;
import io.grpc.Grpc;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.TlsChannelCredentials;

import org.mustardlane.cli.CliSettings.TlsFiles;
import org.mustardlane.core.model.timeline.TimelineEvent;
import org.mustardlane.protocol.DrainAnswer;
import org.mustardlane.protocol.DrainRequest;
import org.mustardlane.protocol.OperatorServiceGrpc;
import org.mustardlane.protocol.OperatorServiceGrpc.OperatorServiceBlockingStub;
import org.mustardlane.protocol.PublishAnswer;
import org.mustardlane.protocol.PublishRequest;
import org.mustardlane.protocol.ShowCatalogueAnswer;
import org.mustardlane.protocol.ShowCatalogueRequest;
import org.mustardlane.protocol.StatusAnswer;
import org.mustardlane.protocol.StatusRequest;
import org.mustardlane.protocol.TimelineEntry;
import org.mustardlane.protocol.TimelineRequest;

/**
 * A client for the operator port of one router.
 *
 * <p>
 * Thread-safe.
 */
final class RouterClient implements AutoCloseable {

	private static final int MAX_REPLY_BYTES = 1 << 26;

	private final RouterAddress address;

	private final ManagedChannel channel;

	private RouterClient(RouterAddress address, ManagedChannel channel) {
		this.address = address;
		this.channel = channel;
	}

	/**
	 * Creates a client, which connects with its first call.
	 * @param address operator address of the router
	 * @param tls files for TLS, or empty for plain text
	 * @return the client
	 * @throws IOException if a certificate file can not be read
	 */
	static RouterClient open(RouterAddress address, Optional<TlsFiles> tls) throws IOException {
		ChannelCredentials credentials = tls.isPresent() ? credentials(tls.get()) : InsecureChannelCredentials.create();
		return new RouterClient(address,
				Grpc.newChannelBuilderForAddress(address.host(), address.port(), credentials)
					.maxInboundMessageSize(MAX_REPLY_BYTES)
					.build());
	}

	private static ChannelCredentials credentials(TlsFiles files) throws IOException {
		return TlsChannelCredentials.newBuilder()
			.keyManager(new File(files.certificate()), new File(files.key()))
			.trustManager(new File(files.trust()))
			.build();
	}

	StatusAnswer status(long timeoutMillis) throws RouterException {
		return call(timeoutMillis, (stub) -> stub.status(StatusRequest.getDefaultInstance()));
	}

	DrainAnswer drain(DrainRequest request, long timeoutMillis) throws RouterException {
		return call(timeoutMillis, (stub) -> stub.drain(request));
	}

	PublishAnswer publish(PublishRequest request, long timeoutMillis) throws RouterException {
		return call(timeoutMillis, (stub) -> stub.publishCatalogue(request));
	}

	ShowCatalogueAnswer show(ShowCatalogueRequest request, long timeoutMillis) throws RouterException {
		return call(timeoutMillis, (stub) -> stub.showCatalogue(request));
	}

	List<TimelineEvent> timeline(TimelineRequest request, long timeoutMillis) throws RouterException {
		return call(timeoutMillis, (stub) -> {
			List<TimelineEvent> events = new ArrayList<>();
			Iterator<TimelineEntry> entries = stub.timeline(request);
			entries.forEachRemaining((entry) -> events.add(toEvent(entry)));
			return events;
		});
	}

	private static TimelineEvent toEvent(TimelineEntry entry) {
		return new TimelineEvent(entry.getHybridTime(), entry.getVm(), entry.getDomain(), entry.getKind(),
				entry.getSubject(), entry.getDetail());
	}

	private <T> T call(long timeoutMillis, Function<OperatorServiceBlockingStub, T> method) throws RouterException {
		try {
			return method.apply(OperatorServiceGrpc.newBlockingStub(this.channel)
				.withDeadlineAfter(timeoutMillis, TimeUnit.MILLISECONDS));
		}
		catch (StatusRuntimeException ex) {
			throw new RouterException(this.address, describe(ex.getStatus()), !isConnectFailure(ex),
					ex.getStatus().getCode() == Status.Code.NOT_FOUND);
		}
	}

	private static String describe(Status status) {
		return switch (status.getCode()) {
			case UNAVAILABLE -> "can not be reached";
			case DEADLINE_EXCEEDED -> "did not reply in time";
			case UNIMPLEMENTED -> "does not support this command";
			default -> Optional.ofNullable(status.getDescription()).orElse(status.getCode().name());
		};
	}

	private static boolean isConnectFailure(StatusRuntimeException failure) {
		Throwable cause = failure.getStatus().getCause();
		return failure.getStatus().getCode() == Status.Code.UNAVAILABLE
				&& (cause instanceof ConnectException || cause instanceof SSLHandshakeException);
	}

	@Override
	public void close() {
		this.channel.shutdownNow();
	}

}
