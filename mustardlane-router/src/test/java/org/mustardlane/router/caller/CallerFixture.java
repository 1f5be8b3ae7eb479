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
 * A server for callers with a fake behind it.
 */
final class CallerFixture implements AutoCloseable {

	static final int LINE_BYTES = 256;

	static final int HEADER_BYTES = 1024;

	static final int BODY_BYTES = 2048;

	static final int HELD_BYTES = 4096;

	private final EventLoopGroup loops = loops();

	private final FakeListener listener = new FakeListener();

	private final CallerServer server;

	CallerFixture(int idleMillis) throws IOException {
		this.server = CallerServer.start(new InetSocketAddress("127.0.0.1", 0), this.loops, this.listener,
				new RequestIds(new VmId("vm"), 0),
				new CallerLimits(LINE_BYTES, HEADER_BYTES, BODY_BYTES, 3 * BODY_BYTES / 2, HELD_BYTES, idleMillis),
				new RouterClock(), () -> false);
	}

	@SuppressWarnings("deprecation")
	private static EventLoopGroup loops() {
		return new NioEventLoopGroup(2);
	}

	FakeListener listener() {
		return this.listener;
	}

	RawCaller connect() throws IOException {
		return new RawCaller(this.server.port());
	}

	/**
	 * Tells whether a value that only tasks of the event loops change has settled: two
	 * tasks that are queued one after the other see the same value.
	 * @param value the value
	 * @return whether nothing in the loops changes it
	 * @throws Exception if a loop has stopped
	 */
	boolean isQuiet(IntSupplier value) throws Exception {
		int before = value.getAsInt();
		for (int round = 0; round < 2; round++) {
			for (EventExecutor loop : this.loops) {
				loop.submit(CallerFixture::nothing).get();
			}
		}
		return before == value.getAsInt();
	}

	private static void nothing() {
	}

	@Override
	public void close() {
		this.server.close();
		this.loops.shutdownGracefully();
	}

}
