package org.mustardlane.router.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.IntSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.EventExecutor;

import org.mustardlane.core.model.common.VmId;
import org.mustardlane.router.worker.RouterClock;

/**
 * Server for callers with a {@link FakeListener}, and clients for it.
 */
final class CallerFixture implements AutoCloseable {

	static final int LINE_BYTES = 256;

	static final int HEADER_BYTES = 1024;

	static final int BODY_BYTES = 2048;

	static final int BUFFERED_RESPONSE_BYTES = 4096;

	private final EventLoopGroup eventLoops = eventLoops();

	private final FakeListener listener = new FakeListener();

	private final CallerServer server;

	CallerFixture(int idleMillis) throws IOException {
		this.server = CallerServer.start(new InetSocketAddress("127.0.0.1", 0), this.eventLoops, this.listener,
				new RequestIdGenerator(new VmId("vm"), 0), new CallerLimits(LINE_BYTES, HEADER_BYTES, BODY_BYTES,
						3 * BODY_BYTES / 2, BUFFERED_RESPONSE_BYTES, idleMillis),
				new RouterClock(), () -> false);
	}

	@SuppressWarnings("deprecation")
	private static EventLoopGroup eventLoops() {
		return new NioEventLoopGroup(2);
	}

	FakeListener listener() {
		return this.listener;
	}

	RawCaller connect() throws IOException {
		return new RawCaller(this.server.port());
	}

	/**
	 * Returns whether a value stays the same while two rounds of empty tasks run on all
	 * event loops. The value must be changed by no thread but those of the event loops.
	 * @param value supplies the value
	 * @return whether the value is the same before and after the two rounds
	 * @throws Exception if an event loop has stopped
	 */
	boolean isUnchangedByPendingTasks(IntSupplier value) throws Exception {
		int initialValue = value.getAsInt();
		for (int round = 0; round < 2; round++) {
			for (EventExecutor eventLoop : this.eventLoops) {
				eventLoop.submit(CallerFixture::doNothing).get();
			}
		}
		return initialValue == value.getAsInt();
	}

	private static void doNothing() {
	}

	@Override
	public void close() {
		this.server.close();
		this.eventLoops.shutdownGracefully();
	}

}
