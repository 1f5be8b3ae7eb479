package org.mustardlane.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.grpc.InsecureServerCredentials;
import io.grpc.Server;
import io.grpc.ServerCredentials;
import io.grpc.Status;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;

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

/**
 * A fake router that has only an operator port and sends preset replies.
 */
final class FakeRouter extends OperatorServiceGrpc.OperatorServiceImplBase implements AutoCloseable {

	final List<PublishRequest> published = new ArrayList<>();

	final AtomicInteger statusCalls = new AtomicInteger();

	volatile PublishAnswer publishReply = PublishAnswer.getDefaultInstance();

	volatile StatusAnswer status = StatusAnswer.getDefaultInstance();

	volatile StatusAnswer laterStatus = this.status;

	volatile boolean failing;

	private final Server server;

	private final String vm;

	FakeRouter(String vm) throws IOException {
		this(vm, InsecureServerCredentials.create());
	}

	FakeRouter(String vm, ServerCredentials credentials) throws IOException {
		this.vm = vm;
		this.server = NettyServerBuilder.forAddress(new InetSocketAddress("127.0.0.1", 0), credentials)
			.addService(this)
			.build();
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getPort();
	}

	@Override
	public void close() {
		this.server.shutdownNow();
	}

	private <T> void reply(StreamObserver<T> observer, T reply) {
		if (this.failing) {
			observer.onError(Status.INTERNAL.withDescription("broken").asRuntimeException());
			return;
		}
		observer.onNext(reply);
		observer.onCompleted();
	}

	@Override
	public void status(StatusRequest request, StreamObserver<StatusAnswer> observer) {
		reply(observer, (this.statusCalls.incrementAndGet() > 2) ? this.laterStatus : this.status);
	}

	@Override
	public void drain(DrainRequest request, StreamObserver<DrainAnswer> observer) {
		reply(observer,
				DrainAnswer.newBuilder().setRequestsInFlight((request.getDeadlineMillis() > 0) ? 4 : 3).build());
	}

	@Override
	public void timeline(TimelineRequest request, StreamObserver<TimelineEntry> observer) {
		reply(observer,
				TimelineEntry.newBuilder()
					.setHybridTime(65_536 * this.vm.length())
					.setVm(this.vm)
					.setKind("seen")
					.build());
	}

	@Override
	public void publishCatalogue(PublishRequest request, StreamObserver<PublishAnswer> observer) {
		this.published.add(request);
		reply(observer, this.publishReply);
	}

	@Override
	public void showCatalogue(ShowCatalogueRequest request, StreamObserver<ShowCatalogueAnswer> observer) {
		if (request.getAtRevision() > 4) {
			observer.onError(Status.NOT_FOUND.withDescription("revision is not kept").asRuntimeException());
			return;
		}
		String loadBoundPercent = (request.getAtRevision() == 3) ? "110" : "120";
		String yaml = "entries:\n  - name: 'e'\n    base: 1\n    loadBoundPercent: " + loadBoundPercent + "\n";
		ShowCatalogueAnswer.Builder reply = ShowCatalogueAnswer.newBuilder().setRevision(4).setYaml(yaml);
		if (request.getAtRevision() == 3) {
			reply.setRevision(3);
		}
		reply.addHistoryBuilder().setRevision(3).setAuthor("ann").setVerdict("ACCEPTED").setSummary("1 set");
		reply(observer, reply.build());
	}

}
